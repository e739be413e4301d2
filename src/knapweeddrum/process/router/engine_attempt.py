"""One run of a request at one engine."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager

from knapweeddrum.core.billing.part_verdict import PartVerdict
from knapweeddrum.core.billing.run_meter import RunMeter
from knapweeddrum.core.budget.reservation import Reservation
from knapweeddrum.endpoint.answer_part import AnswerPart
from knapweeddrum.endpoint.exceptions import (
    EndpointBusyError,
    EndpointConnectError,
    EndpointError,
    InvalidRequestError,
    StreamCutError,
)
from knapweeddrum.endpoint.model_engine import ModelEngine
from knapweeddrum.endpoint.model_request import ModelRequest
from knapweeddrum.telemetry.counters import PARTS_DROPPED
from knapweeddrum.telemetry.metrics import Metrics
from knapweeddrum.value.identifiers import EndpointName, RequestKey, RunId
from knapweeddrum.value.run_state import RunState

NOT_RUN_ERRORS = (EndpointConnectError, EndpointBusyError, InvalidRequestError)
"""Errors of the first call that show that the engine did not run the request."""

PartStream = AbstractAsyncContextManager[AsyncIterator[AnswerPart]]


class EngineAttempt:
    """Receives the parts of one run in order and meters the tokens it consumed."""

    def __init__(
        self,
        request_key: RequestKey,
        run_id: RunId,
        endpoint: EndpointName,
        engine: ModelEngine,
        reservation: Reservation,
        metrics: Metrics,
    ) -> None:
        self.run_id = run_id
        self.endpoint = endpoint
        self.engine = engine
        self.reservation = reservation
        self.meter = RunMeter(request_key)
        self.meter.start_run(run_id)
        self._metrics = metrics
        self.may_have_run = False
        self.failure: EndpointError | None = None

    @property
    def run_state(self) -> RunState:
        """Return whether the engine ran the request, as far as is known."""
        if self.meter.next_index:
            return RunState.RAN
        return RunState.UNKNOWN if self.may_have_run else RunState.NOT_RUN

    async def start(
        self, req: ModelRequest, publish: Callable[[AnswerPart], None]
    ) -> None:
        """Send the request and publish its parts up to the final one.

        Raises EndpointError; ``may_have_run`` is false if the engine did not run it.
        """
        self.may_have_run = True
        try:
            await self._publish_all(self.engine.stream(req), publish)
        except NOT_RUN_ERRORS:
            self.may_have_run = False
            raise

    async def resume(self, publish: Callable[[AnswerPart], None]) -> None:
        """Publish the parts that were not received yet; raises EndpointError."""
        self.may_have_run = True
        parts = self.engine.resume(self.run_id, self.meter.next_index)
        await self._publish_all(parts, publish)

    async def _publish_all(
        self, stream: PartStream, publish: Callable[[AnswerPart], None]
    ) -> None:
        async with stream as parts:
            async for part in parts:
                if not self._accepts(part):
                    continue
                publish(part)
                if part.final:
                    return
        raise StreamCutError("the stream ended before its final part")

    def _accepts(self, part: AnswerPart) -> bool:
        """Return whether a part is the next one; raises StreamCutError for a gap.

        Parts of other runs and parts received before are dropped and counted.
        """
        verdict = self.meter.accept(
            part.run_id,
            part.index,
            part.final,
            part.prompt_tokens,
            part.output_tokens,
        )
        if verdict is PartVerdict.ACCEPTED:
            return True
        self._metrics.count(PARTS_DROPPED)
        if verdict is PartVerdict.EARLY:
            raise StreamCutError(f"part {self.meter.next_index} is missing")
        return False
