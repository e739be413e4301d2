"""Decoding of an engine's streamed answer."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncGenerator

from knapweeddrum.endpoint.answer_part import AnswerPart
from knapweeddrum.endpoint.event_decoder import EventDecoder
from knapweeddrum.endpoint.exceptions import EndpointError, StreamCutError
from knapweeddrum.endpoint.part_message import PartMessage
from knapweeddrum.endpoint.part_sequence import PartSequence
from knapweeddrum.http.exceptions import NoReplyError
from knapweeddrum.http.streamed_reply import StreamedReply
from knapweeddrum.value.documents import MalformedDocumentError, decode_json


async def answer_parts(
    reply: StreamedReply, sequence: PartSequence
) -> AsyncGenerator[AnswerPart, None]:
    """Iterate over the parts of one run up to its final part.

    Raises StreamCutError when the stream ends before the final part, WrongStreamError
    for a part of another run and EndpointError for a malformed part.
    """
    decoder = EventDecoder()
    try:
        async with contextlib.aclosing(reply.chunks()) as chunks:
            async for chunk in chunks:
                for event in decoder.feed(chunk):
                    part = _decode(event)
                    if not sequence.admit(part):
                        continue
                    yield part
                    if part.final:
                        return
    except NoReplyError as exc:
        raise StreamCutError(str(exc)) from exc
    raise StreamCutError("stream ended before its final part")


def _decode(event: bytes) -> AnswerPart:
    try:
        return decode_json(event, PartMessage).part()
    except MalformedDocumentError as exc:
        raise EndpointError(f"malformed part: {exc}") from exc
