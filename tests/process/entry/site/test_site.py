from __future__ import annotations

import os
import pathlib
import tempfile

from nose2.tools import params

from tests.async_test import run_async
from tests.process.entry.site.__main__ import describe
from tests.process.entry.site.site_plan import SitePlan
from tests.process.entry.site.site_play import SitePlay
from tests.process.entry.site.site_shape import LEGAL_AID

LENGTH_SECONDS = float(os.environ.get("KNAPWEED_SITE_SECONDS", "9"))


async def check(seed: int) -> None:
    """Play a seed: nothing is lost, and no process ends by itself."""
    plan = SitePlan.draw(seed, LENGTH_SECONDS)
    with tempfile.TemporaryDirectory() as folder:
        report = await SitePlay(LEGAL_AID, plan, pathlib.Path(folder)).play()
        assert not report.verdict.counted, describe(report)
        assert not report.verdict.broken(), describe(report)
        assert not report.history.own_ends, describe(report)
        assert len(report.history.requests) > 0


@params(1, 5, 7)
def test_site_of_seven_hosts_loses_no_request_around_planned_work(seed: int):
    """A short soak; longer ones by ``python -m tests.process.entry.site``."""
    run_async(check, seed)
