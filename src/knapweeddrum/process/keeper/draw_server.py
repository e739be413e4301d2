"""Serving of draws without losing tokens if the caller gives up.

In a draw a router asks its keeper for allowances, the tokens that requests may spend.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import TaskGroup

from knapweeddrum.message.call.draw_reply import DrawReply
from knapweeddrum.message.call.draw_request import DrawRequest
from knapweeddrum.process.keeper.draw_replies import DrawReplies


@dataclasses.dataclass(slots=True)
class _RunningDraw:
    """A draw in progress, the number of waiting callers, and its reply."""

    done: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    waiters: int = 0
    reply: DrawReply | None = None


class DrawServer:
    """Fulfils each draw in a task of its own, which its caller can't cancel.

    If all callers of a draw have given up, its reply is never sent and its tokens are
    taken back. A repeat of an answered draw gets the same reply.
    """

    def __init__(
        self,
        fulfil: Callable[[DrawRequest], Awaitable[DrawReply]],
        take_back: Callable[[DrawReply], None],
        clock: Callable[[], float],
    ) -> None:
        self._fulfil = fulfil
        self._take_back = take_back
        self._clock = clock
        self._replies = DrawReplies()
        self._running: dict[str, _RunningDraw] = {}

    async def serve(self, req: DrawRequest, tasks: TaskGroup) -> DrawReply:
        """Return the reply to a draw."""
        known = self._replies.get(req.draw_id)
        if known is not None:
            return known
        running = self._running.get(req.draw_id)
        if running is None:
            running = self._running[req.draw_id] = _RunningDraw()
            tasks.start_soon(self._run, req, running)
        running.waiters += 1
        try:
            await running.done.wait()
        except anyio.get_cancelled_exc_class():
            running.waiters -= 1
            self._abandon(running)
            raise
        reply = running.reply
        assert reply is not None
        self._replies.keep(req.draw_id, reply, self._clock())
        return reply

    async def _run(self, req: DrawRequest, running: _RunningDraw) -> None:
        running.reply = await self._fulfil(req)
        del self._running[req.draw_id]
        running.done.set()
        self._abandon(running)

    def _abandon(self, running: _RunningDraw) -> None:
        """Take the tokens back if the draw is complete and no caller waits for it."""
        if running.waiters or running.reply is None:
            return
        self._take_back(running.reply)
        running.reply = None
