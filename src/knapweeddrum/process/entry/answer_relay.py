"""Passes an endpoint's answer on to the caller."""

from __future__ import annotations

import time

import anyio

from knapweeddrum.core.catalog.route_kind import RouteKind
from knapweeddrum.core.routing.answer_end import AnswerEnd
from knapweeddrum.core.routing.answer_verdict import (
    AnswerVerdict,
    first_question_delay,
    judge_body,
    judge_by_life_sign,
    judge_stream,
)
from knapweeddrum.core.streams.stream_origin import StreamOrigin
from knapweeddrum.http.event_splitter import EventSplitter
from knapweeddrum.http.exceptions import EndlessReplyError, TruncatedReplyError
from knapweeddrum.http.header_list import Header
from knapweeddrum.http.server_connection import ServerConnection
from knapweeddrum.platform.endpoint_protocol import EndpointReplyHead
from knapweeddrum.process.entry.attempt_error import AttemptError
from knapweeddrum.process.entry.endpoint_attempt import EndpointAnswer
from knapweeddrum.process.entry.endpoint_connector import EndpointConnector
from knapweeddrum.process.entry.endpoint_probe import ask_life_sign
from knapweeddrum.process.entry.request_job import RequestJob
from knapweeddrum.process.entry.request_log import RequestLog
from knapweeddrum.process.entry.stream_origin_sharing import StreamOriginSharing
from knapweeddrum.value.answer_end_reason import AnswerEndReason
from knapweeddrum.value.answer_format import AnswerFormat
from knapweeddrum.value.body_framing import BodyFraming
from knapweeddrum.value.retry_reason import RetryReason
from knapweeddrum.value.run_state import RunState
from knapweeddrum.value.whole_number import parse_whole_number

MAX_SIZED_BODY_BYTES = 4 * 1024 * 1024
"""Largest body with a length that is buffered before it is passed on."""

MAX_UNSIZED_BODY_BYTES = 1024 * 1024
"""The same for a body without a length, which may have no end."""

MAX_UNDELIVERED_EVENTS = 2
"""Events that an endpoint may have generated but not delivered at a disconnect."""

QUESTION_INTERVAL_SECONDS = 0.1

UNREAD_REQUEST = AnswerVerdict(AnswerEnd.BROKEN_OFF, AnswerEndReason.REQUEST_UNREAD)
"""What follows an answer before its request was read may be a reset."""


class AnswerRelay:
    """Relays the answers to the attempts of one request as one answer."""

    def __init__(
        self,
        caller: ServerConnection,
        job: RequestJob,
        log: RequestLog,
        stream_origins: StreamOriginSharing,
        connector: EndpointConnector,
    ) -> None:
        self._stream_origins = stream_origins
        self._connector = connector
        self._caller = caller
        self._job = job
        self._log = log
        self._splitter = EventSplitter()
        self._is_complete = False
        self._has_uncountable_output = False
        """Whether the caller got output whose tokens can't be counted by events."""
        self.started = False
        """Whether the caller got the head of the answer."""

    @property
    def last_event_id(self) -> str:
        """Return the identifier of the last event passed on, empty if none."""
        return self._splitter.last_id

    def tokens_to_charge(self) -> int:
        """Return the tokens to charge, an upper bound if the answer is incomplete."""
        job = self._job
        if not job.may_have_run:
            return 0
        if self._has_uncountable_output:
            return job.reserved_tokens
        undelivered = 0 if self._is_complete else MAX_UNDELIVERED_EVENTS
        events = self._splitter.event_count + undelivered
        generated = job.input_tokens + events * job.tokens_per_event
        return min(job.reserved_tokens, generated)

    def prepare_retry(self) -> None:
        """Discard what a failed attempt left, before another is made."""
        self._splitter.reset()

    async def relay(self, answer: EndpointAnswer) -> None:
        """Pass on a whole answer.

        Raises AttemptError or NoReplyError if it broke off, and PeerDisconnectedError.
        """
        head = answer.head
        streamed = self._job.route.kind is RouteKind.STREAMING and head.status < 300
        if streamed and head.format is not AnswerFormat.OTHER:
            await self._relay_stream(answer)
        elif self.started:
            raise AttemptError(
                RetryReason.ENDPOINT_ERROR,
                RunState.RAN,
                f"stream not resumed: status {head.status}",
            )
        else:
            await self._relay_buffered(answer)

    async def _relay_buffered(self, answer: EndpointAnswer) -> None:
        body = await self._read_body(answer)
        await self._require_whole(answer, judge_body(answer.head.framing))
        self._record_first_chunk(answer)
        self._has_uncountable_output = answer.head.status < 300
        headers = _without_length(answer.head.headers)
        await self._caller.send_reply(answer.head.status, headers, body)
        self._log.answered(answer.head.status, self.tokens_to_charge())

    async def _read_body(self, answer: EndpointAnswer) -> bytes:
        """Return the whole body; raises EndlessReplyError if it is too long.

        It waits while this host has no memory for it.
        """
        has_length = answer.head.framing is BodyFraming.LENGTH
        limit = MAX_SIZED_BODY_BYTES if has_length else MAX_UNSIZED_BODY_BYTES
        reserved = min(_told_length(answer.head.headers), limit) if has_length else 0
        await self._caller.reserve(reserved)
        parts: list[bytes] = []
        size = 0
        while (data := await answer.next_data()) is not None:
            parts.append(data)
            size += len(data)
            if size > limit:
                raise EndlessReplyError(f"body exceeds {limit} bytes")
            if size > reserved:
                await self._caller.reserve(size - reserved)
                reserved = size
        return b"".join(parts)

    async def _relay_stream(self, answer: EndpointAnswer) -> None:
        """Pass on complete events as they arrive."""
        splitter = self._splitter
        if self.started:
            self._log.resumed(answer.state.entry, splitter.last_id)
        while (data := await answer.next_data()) is not None:
            complete_events = splitter.feed(data)
            self._job.rest_bytes = splitter.rest_bytes
            if complete_events:
                await self._forward(answer, complete_events)
        await self._require_whole(answer, self._judge_stream(answer.head))
        await self._forward(answer, splitter.rest)
        await self._caller.end_reply()
        self._log.answered(answer.head.status, self.tokens_to_charge())

    def _judge_stream(self, head: EndpointReplyHead) -> AnswerVerdict:
        splitter = self._splitter
        if head.format is AnswerFormat.UNSTATED and not splitter.has_standard_field:
            self._has_uncountable_output = True
            return judge_body(head.framing)
        return judge_stream(
            head.framing,
            inside_event=splitter.is_inside_event,
            has_events=splitter.event_count > 0,
        )

    async def _require_whole(
        self, answer: EndpointAnswer, verdict: AnswerVerdict
    ) -> None:
        """Raise an error if the answer broke off."""
        if verdict.end is AnswerEnd.UNKNOWN:
            # Plain services are not known to report anything.
            replies = self._job.route.kind is RouteKind.STREAMING
            verdict = await self._ask_endpoint(answer, replies=replies)
            if not await answer.conn.is_request_taken():
                verdict = UNREAD_REQUEST
        self._log.answer_ended(verdict)
        if verdict.end is AnswerEnd.WHOLE:
            self._is_complete = True
            return
        detail = f"answer broke off: {verdict.reason}"
        if answer.head.framing is BodyFraming.CONNECTION:
            raise TruncatedReplyError(detail)
        raise AttemptError(RetryReason.STREAM_CUT, RunState.RAN, detail)

    async def _ask_endpoint(
        self, answer: EndpointAnswer, *, replies: bool
    ) -> AnswerVerdict:
        """Judge an answer that has just ended by whether its endpoint still runs."""
        ended_at = time.monotonic()
        state = answer.state
        leaving = state.entry.draining or state.notices.leaving_since is not None
        await anyio.sleep(first_question_delay(leaving=leaving, replies=replies))
        while True:
            asked_after = time.monotonic() - ended_at
            sign = await ask_life_sign(self._connector, state.entry, by_report=replies)
            verdict = judge_by_life_sign(sign, asked_after)
            if verdict.end is not AnswerEnd.UNKNOWN:
                return verdict
            await anyio.sleep(QUESTION_INTERVAL_SECONDS)

    async def _forward(self, answer: EndpointAnswer, data: bytes) -> None:
        if not self.started:
            self._record_first_chunk(answer)
            self.started = True
            self._record_beginning(answer.software_version)
            headers = answer.head.headers
            if self._job.route.resumable:
                # A resumed stream may have a different length.
                headers = _without_length(headers)
            await self._caller.start_reply(answer.head.status, headers)
        if data:
            await self._caller.send_data(data)

    def _record_beginning(self, software_version: str) -> None:
        """Record which software version began the stream."""
        job = self._job
        if job.stream_version is None:
            job.stream_version = software_version
        if job.route.resumable:
            origin = StreamOrigin(job.service, job.stream_version)
            self._stream_origins.record_beginning(job, origin)

    def _record_first_chunk(self, answer: EndpointAnswer) -> None:
        answer.first_chunk_received = True
        if self._job.first_chunk_at is None:
            self._job.first_chunk_at = time.monotonic()


def _told_length(headers: list[Header]) -> int:
    values = [value for name, value in headers if name.lower() == b"content-length"]
    return parse_whole_number(values[0].decode("latin-1")) or 0 if values else 0


def _without_length(headers: list[Header]) -> list[Header]:
    return [pair for pair in headers if pair[0].lower() != b"content-length"]
