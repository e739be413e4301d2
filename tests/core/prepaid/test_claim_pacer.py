from __future__ import annotations

import random

from knapweeddrum.core.prepaid.claim_pacer import (
    FLEET_RETRIES_PER_SECOND,
    RETRY_SECONDS_PER_HOST,
    SPREAD,
    ClaimPacer,
)


def test_host_without_rivals_is_not_slowed_down():
    """A write that lost to nobody leaves nothing to repeat."""
    pacer = ClaimPacer(random.Random(1))
    pacer.record_lost(62, 10.5)
    assert pacer.has_lost
    pacer.record_written()
    assert not pacer.has_lost
    assert pacer.seconds_to_retry(10.6) is None


def test_write_that_no_request_waits_for_is_tried_again_later():
    """It leaves the stream to hosts with waiting requests."""
    pacer = ClaimPacer(random.Random(1))
    pacer.record_lost(62, 10.0)
    retry = pacer.seconds_to_retry(10.0)
    assert retry is not None
    assert retry >= 62 / FLEET_RETRIES_PER_SECOND * SPREAD[0]
    assert pacer.seconds_to_retry(10.0 + retry) is None


def test_host_with_many_waiting_requests_tries_again_first():
    """The delay falls with the number of waiting requests."""
    pacer = ClaimPacer(random.Random(1))
    for waiting, factor in ((1, 1.0), (2, 0.25), (10, 0.01)):
        longest = 62 * RETRY_SECONDS_PER_HOST * factor
        delays = [pacer.delay_after_loss(62, waiting) for _ in range(200)]
        assert all(0.0 <= delay <= longest for delay in delays)
        assert max(delays) > 0.8 * longest
