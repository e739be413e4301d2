from __future__ import annotations

import contextlib
import socket

import anyio

from knapweeddrum.message.call.locate_request import LocateRequest
from knapweeddrum.rpc.exceptions import RpcError
from knapweeddrum.rpc.fleet_identity import FleetIdentity
from knapweeddrum.rpc.keeper_methods import LOCATE
from knapweeddrum.rpc.rpc_client import RpcClient
from tests.async_test import async_test

TIMEOUT_SECONDS = 0.05


@async_test
async def test_timeout_leaves_no_cancellation_in_the_calling_task():
    """A cancel scope around a call that times out still ends only itself.

    grpclib cancels the task of a call at its timeout and never calls ``uncancel``; in
    the calling task, the next cancellation of a scope would end the whole task.
    """
    with socket.create_server(("127.0.0.1", 0)) as silent:
        identity = FleetIdentity(fleet="test", key="k" * 16)
        client = RpcClient(identity, *silent.getsockname())
        req = LocateRequest(request_key="mill/r", router="r")
        with anyio.move_on_after(2 * TIMEOUT_SECONDS) as scope:
            with contextlib.suppress(RpcError):
                await client.call(LOCATE, req, TIMEOUT_SECONDS)
            await anyio.sleep_forever()
        assert scope.cancelled_caught
        client.close()
