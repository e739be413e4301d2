"""Simulated calls to keepers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import msgspec

from knapweeddrum.process.keeper.exceptions import KeeperError
from knapweeddrum.rpc.exceptions import PeerUnreachableError, RpcError
from knapweeddrum.rpc.method import Method
from knapweeddrum.rpc.rpc_caller import ReplyT, RequestT, RpcCaller
from tools.budget_model.host import Host

if TYPE_CHECKING:
    from tools.budget_model.fleet import Fleet
    from tools.budget_model.model_keeper import ModelKeeper

CALL_LATENCY_SECONDS = 0.001
LOST_REPLY_FRACTION = 0.001


class ModelCaller(RpcCaller):
    """Calls the keeper of one host from another.

    A call that has arrived is carried out even if the caller has timed out, and a
    fraction of the replies is lost.
    """

    def __init__(self, fleet: Fleet, source: Host, target: Host) -> None:
        self._fleet = fleet
        self._source = source
        self._target = target

    async def call(
        self, method: Method[RequestT, ReplyT], request: RequestT, timeout: float
    ) -> ReplyT:
        """Return the reply of the target's keeper."""
        await anyio.sleep(CALL_LATENCY_SECONDS)
        if not self._fleet.network.is_linked(self._source, self._target):
            await anyio.sleep(timeout)
            raise PeerUnreachableError("no connection")
        keeper = self._fleet.keepers.get(self._target)
        if keeper is None or keeper.is_killed or keeper.tasks is None:
            raise PeerUnreachableError("connection refused")
        replies: list[msgspec.Struct] = []
        done = anyio.Event()
        is_lost = self._fleet.rng.random() < LOST_REPLY_FRACTION

        async def serve(target: ModelKeeper) -> None:
            try:
                reply = await target.handle(method.path, request)
            except KeeperError:
                return
            if not (is_lost or target.is_killed):
                replies.append(reply)
                done.set()

        keeper.tasks.start_soon(serve, keeper)
        with anyio.move_on_after(timeout):
            await done.wait()
        is_linked = self._fleet.network.is_linked(self._source, self._target)
        if not replies or not is_linked:
            raise RpcError("no reply")
        return replies[0]
