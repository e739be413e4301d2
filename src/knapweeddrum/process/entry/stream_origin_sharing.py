"""Shares with other hosts which software version began a stream."""

from __future__ import annotations

import dataclasses
import time
from collections.abc import Mapping

import anyio
import msgspec

from knapweeddrum.core.streams.origin_holders import (
    ASKED_HOSTS,
    TOLD_HOSTS,
    rank_holders,
)
from knapweeddrum.core.streams.question_limit import QuestionLimit
from knapweeddrum.core.streams.stream_origin import StreamOrigin, stream_key
from knapweeddrum.core.streams.stream_origins import StreamOrigins
from knapweeddrum.message.call.stream_origin_exchange import (
    StreamOriginNotice,
    StreamOriginQuestion,
    StreamOriginReceipt,
    StreamOriginRecord,
    StreamOriginReply,
)
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.process.entry.page_server import PageAnswer
from knapweeddrum.process.entry.peer_client import PeerClient
from knapweeddrum.process.entry.request_job import RequestJob
from knapweeddrum.process.entry.request_log import MAX_LOGGED_ID_CHARS
from knapweeddrum.telemetry.entry_events import STREAM_ORIGIN_SOUGHT
from knapweeddrum.value.documents import decode_json
from knapweeddrum.value.host_record import HostRecord
from knapweeddrum.value.origin_source import OriginSource

NOTICE_PATH = b"/stream-origins/notice"
QUESTION_PATH = b"/stream-origins/question"

BATCH_SECONDS = 0.05
"""Time for which origins are collected before other hosts are told."""

CHECK_SECONDS = 0.25
"""Interval of checks whether a service has got a second version."""

MAX_NOTICE_RECORDS = 200

LIST_WAIT_SECONDS = 1.0
"""Longest wait for a read of the service list, of which two a second are made."""

REPEAT_SECONDS = 0.09
"""Time after which hosts are asked again, as a notice may be on its way."""


@dataclasses.dataclass(frozen=True, slots=True)
class _UntoldOrigin:
    """An origin that other hosts may have to be told."""

    organisation: str
    origin: StreamOrigin


class StreamOriginSharing:
    """Tells a few hosts what began each stream, and asks them when one is taken up.

    While a service has had a single version for long enough, nobody needs to know; the
    origins of such streams are told when that changes.
    """

    def __init__(self, ctx: EntryContext, peers: PeerClient) -> None:
        self._ctx = ctx
        self._peers = peers
        self._origins = StreamOrigins()
        self._untold: dict[str, _UntoldOrigin] = {}
        self._has_news = anyio.Event()
        self._limit = QuestionLimit()

    async def run(self) -> None:
        """Tell other hosts until cancelled."""
        while True:
            with anyio.move_on_after(CHECK_SECONDS):
                await self._has_news.wait()
            self._has_news = anyio.Event()
            if self._untold:
                await anyio.sleep(BATCH_SECONDS)
                await self._tell_untold()

    def record_beginning(self, job: RequestJob, origin: StreamOrigin) -> None:
        """Remember what began the stream of a request."""
        now = time.monotonic()
        key = _key(job)
        if not self._origins.record(key, origin, now):
            return
        self._untold[key] = _UntoldOrigin(_organisation(job), origin)
        if self._ctx.endpoint_history.sole_version(origin.service, now) is None:
            self._has_news.set()

    async def find(self, job: RequestJob) -> StreamOrigin | None:
        """Return what began the stream that a request takes up, None if unknown."""
        source = OriginSource.OWN
        origin = None
        if job.req.resumed_attempt:
            origin = self._origins.find(_key(job), time.monotonic())
            if origin is None:
                source = OriginSource.HOST
                origin = await self._ask_within_limit(job)
        if origin is None:
            source = OriginSource.SOLE_VERSION
            origin = await self._certain_origin(job)
        if origin is None:
            source = OriginSource.NONE
        self._ctx.events.emit(
            STREAM_ORIGIN_SOUGHT,
            request=job.req.attempt_id,
            resumes=job.req.resumed_attempt[:MAX_LOGGED_ID_CHARS],
            source=source,
            service=origin.service if origin else "",
            software_version=origin.software_version if origin else "",
        )
        return origin

    async def receive_notice(self, body: bytes) -> PageAnswer:
        """Remember the origins that another host tells."""
        notice = decode_json(body, StreamOriginNotice)
        now = time.monotonic()
        new = sum(
            self._origins.record(record.key, _origin(record), now)
            for record in notice.records
        )
        return PageAnswer(200, msgspec.json.encode(StreamOriginReceipt(new)))

    async def answer_question(self, body: bytes) -> PageAnswer:
        """Tell another host what is known here of a stream."""
        question = decode_json(body, StreamOriginQuestion)
        origin = self._origins.find(question.key, time.monotonic())
        record = _record(question.key, origin) if origin is not None else None
        sole = self._sole_origin(question.services)
        reply = StreamOriginReply(record, sole.software_version if sole else None)
        return PageAnswer(200, msgspec.json.encode(reply))

    def _sole_origin(self, services: tuple[str, ...]) -> StreamOrigin | None:
        """Return the only origin that a stream can have, None if there are several."""
        if len(services) != 1:
            return None
        history = self._ctx.endpoint_history
        version = history.sole_version(services[0], time.monotonic())
        return StreamOrigin(services[0], version) if version is not None else None

    async def _certain_origin(self, job: RequestJob) -> StreamOrigin | None:
        """Return the only origin that a stream can have by a list of its lifetime."""
        if self._sole_origin(job.route.service_names) is None:
            return None
        await self._wait_for_list(job)
        (service,) = job.route.service_names
        version = self._ctx.endpoint_history.origin_version(service, job.arrived_at)
        return StreamOrigin(service, version) if version is not None else None

    async def _wait_for_list(self, job: RequestJob) -> None:
        """Wait until the list has been read that other hosts had at the arrival."""
        wait = min(LIST_WAIT_SECONDS, job.deadline - time.monotonic())
        with anyio.move_on_after(wait):
            while not self._ctx.endpoint_history.knows_list_of(job.arrived_at):
                await self._ctx.service_list_read.wait()

    async def _confirmed_origin(
        self, job: RequestJob, told: StreamOrigin, told_after: float
    ) -> StreamOrigin | None:
        """Return the only origin that another host tells, None if it may be another."""
        await self._wait_for_list(job)
        is_confirmed = self._ctx.endpoint_history.confirms(
            told.service, told.software_version, told_after, job.arrived_at
        )
        return told if is_confirmed else None

    async def _ask_within_limit(self, job: RequestJob) -> StreamOrigin | None:
        """Ask other hosts, unless too many questions of the organisation were vain."""
        organisation = _organisation(job)
        if not self._limit.take(organisation, time.monotonic()):
            return None
        question = StreamOriginQuestion(_key(job), job.route.service_names)
        origin = await self._ask_holders(job, question)
        if origin is None:
            # The notice may be on its way.
            await anyio.sleep(REPEAT_SECONDS)
            origin = await self._ask_holders(job, question)
        if origin is not None:
            self._limit.give_back(organisation)
        return origin

    async def _ask_holders(
        self, job: RequestJob, question: StreamOriginQuestion
    ) -> StreamOrigin | None:
        """Ask one host after the other; most often the first one knows."""
        asked_at = time.monotonic()
        sole_origin = None
        for host in self._holders(_organisation(job), ASKED_HOSTS):
            reply = await self._peers.post(
                host.peer_address, QUESTION_PATH, question, StreamOriginReply
            )
            if reply is None:
                continue
            if reply.record is not None:
                return _origin(reply.record)
            if reply.sole_version is not None:
                sole_origin = StreamOrigin(question.services[0], reply.sole_version)
        if sole_origin is None:
            return None
        return await self._confirmed_origin(job, sole_origin, asked_at)

    async def _tell_untold(self) -> None:
        """Tell the holders of each origin that somebody may need to know."""
        now = time.monotonic()
        history = self._ctx.endpoint_history
        batches: dict[str, list[StreamOriginRecord]] = {}
        told: dict[str, _UntoldOrigin] = {}
        for key, untold in list(self._untold.items()):
            if self._origins.find(key, now) is None:
                del self._untold[key]
                continue
            if history.sole_version(untold.origin.service, now) is not None:
                continue
            for host in self._holders(untold.organisation, TOLD_HOSTS):
                record = _record(key, untold.origin)
                batches.setdefault(host.peer_address, []).append(record)
                told[key] = untold
        for key in told:
            del self._untold[key]
        async with anyio.create_task_group() as tasks:
            for address, records in batches.items():
                tasks.start_soon(self._tell, address, records, told)

    async def _tell(
        self,
        address: str,
        records: list[StreamOriginRecord],
        told: Mapping[str, _UntoldOrigin],
    ) -> None:
        for start in range(0, len(records), MAX_NOTICE_RECORDS):
            notice = StreamOriginNotice(tuple(records[start:][:MAX_NOTICE_RECORDS]))
            receipt = await self._peers.post(
                address, NOTICE_PATH, notice, StreamOriginReceipt
            )
            if receipt is None:
                # The next round tells the hosts that rank next.
                for record in notice.records:
                    self._untold[record.key] = told[record.key]
                self._has_news.set()

    def _holders(self, organisation: str, count: int) -> list[HostRecord]:
        hosts = [
            host
            for host in self._ctx.hosts.ready_hosts()
            if not self._peers.is_unresponsive(host.peer_address)
        ]
        return rank_holders(organisation, hosts)[:count]


def _organisation(job: RequestJob) -> str:
    return job.organisation_name or ""


def _key(job: RequestJob) -> str:
    """Return the key of the stream that a request begins or takes up."""
    attempt_id = job.req.resumed_attempt or job.req.attempt_id
    return stream_key(job.organisation_name, attempt_id)


def _origin(record: StreamOriginRecord) -> StreamOrigin:
    return StreamOrigin(record.service, record.software_version)


def _record(key: str, origin: StreamOrigin) -> StreamOriginRecord:
    return StreamOriginRecord(key, origin.service, origin.software_version)
