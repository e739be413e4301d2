from __future__ import annotations

from knapweeddrum.core.placing.back_off import MAX_BACK_OFF_SECONDS, BackOff


def test_times_that_are_meaningless_or_too_long_are_not_kept_to():
    """An endpoint can't keep a host away for good."""
    assert BackOff(None).believed_seconds is None
    assert BackOff(MAX_BACK_OFF_SECONDS + 0.1).believed_seconds is None
    assert BackOff(MAX_BACK_OFF_SECONDS).believed_seconds == MAX_BACK_OFF_SECONDS
    assert BackOff(0.0).believed_seconds == 0.0
