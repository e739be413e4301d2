"""Client for the keepers' hints on where requests run."""

from __future__ import annotations

import contextlib

import anyio
import anyio.abc

from knapweeddrum.message.call.locate_reply import LocateReply
from knapweeddrum.message.call.locate_request import LocateRequest
from knapweeddrum.process.router.router_context import RouterContext
from knapweeddrum.rpc.exceptions import RpcError
from knapweeddrum.rpc.keeper_methods import LOCATE
from knapweeddrum.value.identifiers import EndpointName, RequestKey, RunId

LOCATE_TIMEOUT_SECONDS = 0.25
"""Limit on one call to the keeper, which is then treated as having no hint."""


class Locator:
    """Registers and looks up the runs of requests.

    Hints are optional: without a reply the request counts as unknown.
    """

    def __init__(self, context: RouterContext, tasks: anyio.abc.TaskGroup) -> None:
        self._context = context
        self._tasks = tasks

    async def find(self, request_key: RequestKey) -> LocateReply:
        """Return where the request runs; the fields are empty if no run is known."""
        req = LocateRequest(request_key=request_key, router=self._context.incarnation)
        return await self._call(req)

    async def register(
        self, request_key: RequestKey, endpoint: EndpointName, run_id: RunId
    ) -> None:
        """Register that this router runs the request at an endpoint."""
        await self._call(self._registration(request_key, endpoint, run_id))

    def register_in_background(
        self, request_key: RequestKey, endpoint: EndpointName, run_id: RunId
    ) -> None:
        """Register a run as ``register`` does, in the background."""
        self._tasks.start_soon(
            self._call, self._registration(request_key, endpoint, run_id)
        )

    async def is_resumed_elsewhere(
        self, request_key: RequestKey, run_id: RunId
    ) -> bool:
        """Return whether another router has resumed the run."""
        reply = await self.find(request_key)
        if reply.run_id != run_id:
            return False
        return reply.router not in ("", self._context.incarnation)

    def forget(self, request_key: RequestKey, run_id: RunId) -> None:
        """Remove the hint of a request that has ended, in the background."""
        req = LocateRequest(
            request_key=request_key,
            router=self._context.incarnation,
            run_id=run_id,
            finished=True,
        )
        self._tasks.start_soon(self._call, req)

    def _registration(
        self, request_key: RequestKey, endpoint: EndpointName, run_id: RunId
    ) -> LocateRequest:
        return LocateRequest(
            request_key=request_key,
            router=self._context.incarnation,
            endpoint=endpoint,
            run_id=run_id,
        )

    async def _call(self, req: LocateRequest) -> LocateReply:
        # RpcCaller may try several keepers; the timeout is for all of them together.
        with anyio.move_on_after(LOCATE_TIMEOUT_SECONDS), contextlib.suppress(RpcError):
            return await self._context.keeper.call(LOCATE, req, LOCATE_TIMEOUT_SECONDS)
        return LocateReply()
