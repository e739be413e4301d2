"""Hints about where requests run, kept by the keepers."""

from __future__ import annotations

import contextlib

import anyio
import anyio.abc

from knapweeddrum.message.call.locate_reply import LocateReply
from knapweeddrum.message.call.locate_request import LocateRequest
from knapweeddrum.process.router.collaborators import Collaborators
from knapweeddrum.rpc.exceptions import RpcError
from knapweeddrum.rpc.keeper_methods import LOCATE
from knapweeddrum.value.identifiers import EndpointName, RequestKey, RunId

TIMEOUT_SECONDS = 0.25
"""A hint that comes later than this is done without."""


class Locator:
    """Asks and tells the keeper; a silent keeper means that nothing is known."""

    def __init__(self, parts: Collaborators, tasks: anyio.abc.TaskGroup) -> None:
        self._parts = parts
        self._tasks = tasks

    async def find(self, request_key: RequestKey) -> LocateReply:
        """Return where the request runs; empty when no run is known."""
        req = LocateRequest(request_key=request_key, router=self._parts.incarnation)
        return await self._call(req)

    async def tell(
        self, request_key: RequestKey, endpoint: EndpointName, run_id: RunId
    ) -> None:
        """Say that the request runs at an endpoint for a caller of this router."""
        await self._call(self._found(request_key, endpoint, run_id))

    def tell_later(
        self, request_key: RequestKey, endpoint: EndpointName, run_id: RunId
    ) -> None:
        """Say the same in the background."""
        self._tasks.start_soon(self._call, self._found(request_key, endpoint, run_id))

    async def is_moved(self, request_key: RequestKey, run_id: RunId) -> bool:
        """Return whether another router has taken the run over."""
        reply = await self.find(request_key)
        if reply.run_id != run_id:
            return False
        return reply.router not in ("", self._parts.incarnation)

    def forget(self, request_key: RequestKey, run_id: RunId) -> None:
        """Say in the background that the request is over."""
        req = LocateRequest(
            request_key=request_key,
            router=self._parts.incarnation,
            run_id=run_id,
            finished=True,
        )
        self._tasks.start_soon(self._call, req)

    def _found(
        self, request_key: RequestKey, endpoint: EndpointName, run_id: RunId
    ) -> LocateRequest:
        return LocateRequest(
            request_key=request_key,
            router=self._parts.incarnation,
            endpoint=endpoint,
            run_id=run_id,
        )

    async def _call(self, req: LocateRequest) -> LocateReply:
        # The caller may try several keepers; the limit is for all of them together.
        with anyio.move_on_after(TIMEOUT_SECONDS), contextlib.suppress(RpcError):
            return await self._parts.keeper.call(LOCATE, req, TIMEOUT_SECONDS)
        return LocateReply()
