from __future__ import annotations

from knapweeddrum.platform.exceptions import PlatformError
from knapweeddrum.platform.http_weight_store import HttpWeightStore
from tests.assertions import raises
from tests.async_test import async_test
from tests.standins.serving import serve
from tests.standins.weight_store import WeightStoreStandIn


@async_test
async def test_fetch_above_the_rate_has_to_wait():
    """The first fetch is admitted, the second gets the seconds to wait."""
    app = WeightStoreStandIn()
    app.set_switches(fetches_per_second=1e-6, retry_after_seconds=2.5)
    async with serve(app) as url, HttpWeightStore.connect(url) as store:
        assert await store.reserve_fetch("m", "1") == 0.0
        assert await store.reserve_fetch("m", "1") == 2.5
        assert len(app.fetches) == 1
        app.set_switches(outage=True)
        with raises(PlatformError):
            await store.reserve_fetch("m", "1")
