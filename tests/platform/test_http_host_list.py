from __future__ import annotations

from knapweeddrum.platform.exceptions import PlatformError
from knapweeddrum.platform.hosts_reply import HostBody, HostsReply
from knapweeddrum.platform.http_host_list import HttpHostList
from knapweeddrum.platform.listed_host import ListedHost
from tests.assertions import raises
from tests.async_test import async_test
from tests.standins.host_list import HostListStandIn
from tests.standins.serving import serve


@async_test
async def test_list_shows_changes_after_its_lag():
    """The list omits hosts set within its lag; an outage raises PlatformError."""
    app = HostListStandIn()
    async with serve(app) as url, HttpHostList.connect(url) as hosts:
        app.set_hosts(HostsReply((HostBody("a", "127.0.0.1:1", leaving=True),)))
        assert await hosts.read() == (ListedHost("a", "127.0.0.1:1", leaving=True),)
        app.set_switches(lag_seconds=1000.0)
        assert await hosts.read() == ()
        app.set_switches(outage=True)
        with raises(PlatformError):
            await hosts.read()
