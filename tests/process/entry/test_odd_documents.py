from __future__ import annotations

import contextlib
import os
import random
from collections.abc import Iterator

import msgspec

from knapweeddrum.message.call.crash_exchange import CrashClearance, CrashExchange
from knapweeddrum.message.call.crash_mark import CrashMark
from knapweeddrum.message.call.crash_record import CrashRecord
from knapweeddrum.message.call.endpoint_permit import LimitNews, PermitRequest
from knapweeddrum.message.call.sighting import Sighting, SightingExchange
from knapweeddrum.message.call.stream_origin_exchange import (
    StreamOriginNotice,
    StreamOriginQuestion,
    StreamOriginRecord,
)
from knapweeddrum.message.call.token_loan import TokenLoanRequest, TokenReturn
from knapweeddrum.message.call.token_opening import (
    TokenUnlockRequest,
    UnlockedLimit,
    WitnessDeparture,
)
from knapweeddrum.process.entry.machine_clock import machine_time
from knapweeddrum.value.documents import MalformedDocumentError
from knapweeddrum.value.host_record import HostRecord
from knapweeddrum.value.told_limit import ToldLimit
from tests.async_test import run_async
from tests.process.entry.entry_harness import ORGANISATION, configuration
from tests.process.entry.fuzzed_host import FuzzedHost
from tests.standins.odd_documents import OddDocuments

SEEDS = int(os.environ.get("KNAPWEED_FUZZ_SEEDS", "20"))
DOCUMENTS_PER_SEED = 40

HOST = HostRecord(
    "host-1",
    "host-1/1",
    "127.0.0.1:1",
    "127.0.0.1:2",
    "zone-a",
    ready=True,
    beat=2,
    limits=(ToldLimit("e1", 5.0, 0.5, 1),),
)
ENTRY = {
    "service": "engine",
    "address": "127.0.0.1:3",
    "zone": "zone-a",
    "slots": 8,
    "state": "ready",
    "seq": 1,
    "version": "v1",
    "born": 1_700_000_000_000,
}
CRASHES = CrashRecord("f1", (CrashMark("e1", 1.0), CrashMark("e2", 2.0)), 0.0, 1)
CLAIM = [500, 100, 200, "host-2/1"]
CHECK_IN = {
    "incarnation": "host-1/1",
    "era": 0,
    "complete_era": 0,
    "stream_end": 5,
    "is_fresh": True,
    "running": ["host-2/1"],
    "claims": [
        {
            "position": 1,
            "organisation": ORGANISATION,
            "incarnation": "host-1/1",
            "claimed": 5,
            "committed": 3,
            "unlocked": 4,
            "witness": "",
        }
    ],
    "consents": [{"organisation": ORGANISATION, "holder": "host-1/1", "limit": 3}],
}
VERSIONS = {
    "list_offset": 3,
    "sole": [{"service": "s", "software_version": "v1", "seconds": 20.0}],
}
SPENDING = {
    "incarnation": "host-0/0",
    "number": 1,
    "era": 0,
    "at": msgspec.to_builtins(machine_time()),
    "limits": [[ORGANISATION, 300, 10.0]],
}
RECORDS: tuple[tuple[str, str, object], ...] = (
    ("configuration", "config", configuration(2)),
    ("services", "engine-1", ENTRY),
    ("hosts", "host-1", msgspec.to_builtins(HOST)),
    ("hosts", "|versions", VERSIONS),
    ("crashes", "f1", msgspec.to_builtins(CRASHES)),
    ("claims", f"{ORGANISATION}|host-1/1", CLAIM),
    ("claims", "|check-in|host-1/1", CHECK_IN),
    ("claims", "|opening", {"era": 0}),
    ("claims", f"{ORGANISATION}|host-0/0", CLAIM),
    ("spending", "host-0/0", SPENDING),
)
"""Stream, key and sound document of each kind of record."""

MESSAGES: tuple[tuple[str, msgspec.Struct], ...] = (
    ("loan", TokenLoanRequest(ORGANISATION, 5, 10, False, "host-1/1", "host-0/1", 1)),
    ("return", TokenReturn(ORGANISATION, 5, "host-1/1", "host-0/1")),
    (
        "unlock",
        TokenUnlockRequest("host-1/1", "host-0/1", [UnlockedLimit(ORGANISATION, 5)]),
    ),
    ("leave", WitnessDeparture("host-1/1", [ORGANISATION])),
    ("permit", PermitRequest("e1", 5.0, 0.1, "host-1/1", 1)),
    ("limit", LimitNews(ToldLimit("e1", 5.0, 0.1, 1))),
    ("sighting", SightingExchange(HOST, (Sighting("host-2", "host-2/1", 0.5),))),
    ("crashes", CrashExchange((CRASHES,))),
    ("clear", CrashClearance("f1")),
    ("notice", StreamOriginNotice((StreamOriginRecord("k", "s", "v1"),))),
    ("question", StreamOriginQuestion("k", ("s",))),
)
"""Page and sound document of each kind of message between hosts."""


def test_no_record_of_another_writer_ends_a_host():
    """Neither as it is read nor by what the host does with it later."""
    for seed in range(SEEDS):
        rng = random.Random(seed)
        documents = OddDocuments(rng)
        host = FuzzedHost()
        host.read("configuration", "config", msgspec.json.encode(configuration(1)))
        for _ in range(DOCUMENTS_PER_SEED):
            stream, key, sound = rng.choice(RECORDS)
            body = documents.draw(sound)
            with _named(f"seed {seed}: {stream} {key} {body[:400]!r}"):
                host.read(stream, key, body)
                host.go_on()


def test_no_message_of_another_host_ends_a_host():
    """It is answered, or malformed; and the host goes on."""

    async def play() -> None:
        for seed in range(SEEDS):
            await _send_messages(seed)

    run_async(play)


async def _send_messages(seed: int) -> None:
    rng = random.Random(seed)
    documents = OddDocuments(rng)
    host = FuzzedHost()
    host.read("configuration", "config", msgspec.json.encode(configuration(1)))
    for _ in range(DOCUMENTS_PER_SEED):
        page, message = rng.choice(MESSAGES)
        body = documents.draw(msgspec.to_builtins(message))
        with _named(f"seed {seed}: {page} {body[:400]!r}"):
            try:
                await host.pages[page](body)
            except MalformedDocumentError:
                continue
            host.go_on()


@contextlib.contextmanager
def _named(note: str) -> Iterator[None]:
    """Add to an error which document it is about."""
    try:
        yield
    except Exception as exc:
        exc.add_note(note)
        raise
