from __future__ import annotations

from knapweeddrum.core.load.reply_delay import MEMORY_SECONDS, SAMPLES, ReplyDelay


def test_single_late_reply_does_not_count():
    """Most of the replies must be late."""
    delay = ReplyDelay()
    for number in range(SAMPLES):
        delay.record(0.5 if number == 1 else 0.01, float(number))
    assert delay.recent(4.0) < 0.1


def test_delay_is_remembered_for_some_seconds():
    """A host that has caught up is told of as late until its callers have moved."""
    delay = ReplyDelay()
    for number in range(SAMPLES):
        delay.record(0.3, float(number))
    for number in range(SAMPLES):
        delay.record(0.01, 4.0 + number)
    assert delay.recent(8.0) == 0.3
    assert delay.recent(9.0 + MEMORY_SECONDS) < 0.1
