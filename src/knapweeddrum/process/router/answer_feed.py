"""Buffer between a run and the caller that receives its answer."""

from __future__ import annotations

import math

import anyio
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

from knapweeddrum.endpoint.answer_part import AnswerPart
from knapweeddrum.process.router.run_ending import RunEnding
from knapweeddrum.value.refusal import Refusal
from knapweeddrum.value.refusal_reason import RefusalReason
from knapweeddrum.value.run_state import RunState

FeedItem = AnswerPart | RunEnding


class AnswerFeed:
    """Keeps the parts of an answer and sends them to one listener.

    When the same request is sent again, the new listener gets the answer from its
    first part on, and the earlier one a refusal with the reason MOVED. The size is
    bounded by the output limit of the run.
    """

    def __init__(self) -> None:
        self.parts: list[AnswerPart] = []
        self.ending: RunEnding | None = None
        self._listener: MemoryObjectSendStream[FeedItem] | None = None

    def publish(self, part: AnswerPart) -> None:
        """Add the next part."""
        self.parts.append(part)
        self._send(part)

    def finish(self, ending: RunEnding) -> None:
        """End the answer; later calls have no effect."""
        if self.ending is not None:
            return
        self.ending = ending
        self._send(ending)

    def attach(self) -> MemoryObjectReceiveStream[FeedItem]:
        """Return a stream of all parts, which ends with a RunEnding."""
        self._send(RunEnding(refusal=_taken_over()))
        send, receive = anyio.create_memory_object_stream[FeedItem](math.inf)
        self._listener = send
        for part in self.parts:
            self._send(part)
        if self.ending is not None:
            self._send(self.ending)
        return receive

    def detach(self, receive: MemoryObjectReceiveStream[FeedItem]) -> bool:
        """Close a listener's stream; return whether it was the current listener."""
        receive.close()
        if self._listener is None:
            return False
        was_current = self._listener.statistics().open_receive_streams == 0
        if was_current:
            self._listener.close()
            self._listener = None
        return was_current

    def _send(self, item: FeedItem) -> None:
        if self._listener is None:
            return
        try:
            self._listener.send_nowait(item)
        except anyio.BrokenResourceError:
            self._listener = None


def _taken_over() -> Refusal:
    return Refusal(
        RefusalReason.MOVED,
        RunState.RAN,
        detail="the same request was sent again and is answered there",
    )
