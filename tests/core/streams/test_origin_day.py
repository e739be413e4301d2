from __future__ import annotations

import os

from nose2.tools import params

from tests.core.streams.origin_day import OriginDay

SEEDS = int(os.environ.get("KNAPWEED_ORIGIN_SEEDS", "2"))
SECONDS = 30.0
STREAMS_PER_STEP = 10
KILLS_PER_SECOND = 0.02
"""Share of the hosts that is killed, and of those that are cut off, each second."""


@params(7, 62, 370)
def test_most_streams_that_are_taken_up_are_known_while_hosts_come_and_go(hosts):
    """More than half go on, and none at another version."""
    for seed in range(SEEDS):
        day = OriginDay(hosts, seed)
        tally = day.play(SECONDS, STREAMS_PER_STEP, KILLS_PER_SECOND)
        assert tally.taken_up > 1000
        assert tally.wrong == 0
        assert tally.known >= 0.5 * tally.taken_up, (seed, tally)
        # Neither grows with the number of hosts.
        assert tally.notices <= 2 * SECONDS / 0.1 * STREAMS_PER_STEP + 100
        assert tally.questions <= 3 * tally.taken_up
