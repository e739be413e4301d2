"""Encoder of answers in the chat-completion formats, JSON or server-sent events."""

from __future__ import annotations

import msgspec

from knapweeddrum.process.router.chat_answer import ChatAnswer
from knapweeddrum.process.router.chat_choice import ChatChoice
from knapweeddrum.process.router.chat_chunk import ChatChunk
from knapweeddrum.process.router.chat_delta import ChatDelta
from knapweeddrum.process.router.chat_usage import ChatUsage
from knapweeddrum.process.router.chunk_choice import ChunkChoice
from knapweeddrum.process.router.problem import Problem

DONE_EVENT = b"data: [DONE]\n\n"


class ChatEncoder:
    """Encodes one answer; ``created`` is in Unix seconds."""

    def __init__(self, request_id: str, model: str, created: int) -> None:
        self._request_id = request_id
        self._model = model
        self._created = created

    def text_event(self, text: str, first: bool) -> bytes:
        """Return the event with the next part of the answer's text."""
        delta = ChatDelta(role="assistant" if first else None, content=text)
        return self._chunk_event((ChunkChoice(delta=delta),), None)

    def closing_events(self, finish_reason: str, usage: ChatUsage) -> bytes:
        """Return the events that end a complete answer: finish reason, usage, DONE."""
        choice = ChunkChoice(delta=ChatDelta(), finish_reason=finish_reason)
        finish = self._chunk_event((choice,), None)
        return finish + self._chunk_event((), usage) + DONE_EVENT

    def completion(self, text: str, finish_reason: str, usage: ChatUsage) -> bytes:
        """Return a complete answer as one JSON document."""
        message = ChatDelta(role="assistant", content=text)
        choice = ChatChoice(message=message, finish_reason=finish_reason)
        answer = ChatAnswer(
            id=self._request_id,
            model=self._model,
            created=self._created,
            choices=(choice,),
            usage=usage,
        )
        return msgspec.json.encode(answer)

    def _chunk_event(
        self, choices: tuple[ChunkChoice, ...], usage: ChatUsage | None
    ) -> bytes:
        """Return one chunk as a server-sent event."""
        chunk = ChatChunk(
            id=self._request_id,
            model=self._model,
            created=self._created,
            choices=choices,
            usage=usage,
        )
        return b"data: " + msgspec.json.encode(chunk) + b"\n\n"


def error_event(problem: Problem) -> bytes:
    """Return the event that ends an incomplete stream; no DONE follows it."""
    return b"event: error\ndata: " + problem.encode() + b"\n\n"
