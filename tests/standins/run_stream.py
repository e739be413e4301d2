"""Streaming a run's parts from the stand-in for a model engine."""

from __future__ import annotations

import anyio
import msgspec

from knapweeddrum.endpoint.part_message import PartMessage
from tests.standins.engine_run import EngineRun
from tests.standins.model_engine_switches import ModelEngineSwitches
from tests.standins.responder import Responder

IDLE_COMMENT_INTERVAL_SECONDS = 10.0


class RunStream:
    """One stream of events; the switches at its start decide how it fails."""

    def __init__(self, run: EngineRun, switches: ModelEngineSwitches) -> None:
        self._run = run
        self._cut_after: int | None = None
        self._has_wrong_run_id = False
        if switches.cut_streams > 0:
            switches.cut_streams -= 1
            self._cut_after = switches.cut_after_parts
        if switches.wrong_streams > 0:
            switches.wrong_streams -= 1
            self._has_wrong_run_id = True

    async def send(self, start: int, responder: Responder) -> None:
        """Send the parts from index ``start`` on until the run ends."""
        await responder.start_events()
        index = start
        while True:
            if self._cut_after is not None and index - start >= self._cut_after:
                responder.cut()
                return
            if index < len(self._run.parts):
                await responder.event(self._encode(self._run.parts[index]))
                index += 1
            elif self._run.ended:
                break
            else:
                await self._wait(responder)
        if self._run.entry.crashed:
            responder.cut()
            return
        await responder.end()

    async def _wait(self, responder: Responder) -> None:
        with anyio.move_on_after(IDLE_COMMENT_INTERVAL_SECONDS) as scope:
            await self._run.changed.wait()
        if scope.cancelled_caught:
            await responder.comment()

    def _encode(self, part: PartMessage) -> bytes:
        if self._has_wrong_run_id:
            part = msgspec.structs.replace(part, run_id=f"{part.run_id}-other")
        return msgspec.json.encode(part)
