from __future__ import annotations

import dataclasses
import json
import pathlib
import tempfile
import unittest

from hypothesis import given
from hypothesis import strategies as st

from knapweeddrum.core.catalog.cold_ramp import ColdRamp
from knapweeddrum.core.catalog.route_kind import RouteKind
from knapweeddrum.core.prepaid.token_claim import TokenClaim
from knapweeddrum.http.exceptions import MalformedRequestError
from knapweeddrum.http.header_list import HeaderList
from knapweeddrum.http.raw_reply_head import RawReplyHead
from knapweeddrum.http.server_connection import ReceivedRequest
from knapweeddrum.message.call.crash_mark import CrashMark
from knapweeddrum.message.call.crash_record import CrashRecord
from knapweeddrum.platform.caller_protocol import decode_request
from knapweeddrum.platform.configuration_codec import decode_configuration
from knapweeddrum.platform.endpoint_protocol import decode_reply_head
from knapweeddrum.platform.exceptions import MalformedRecordError, SettingsFileError
from knapweeddrum.platform.fleet_codec import (
    decode_crash_record,
    decode_heartbeat,
    decode_token_claim,
    decode_version_record,
    encode_crash_record,
    encode_crash_record_removal,
    encode_heartbeat,
    encode_token_claim,
)
from knapweeddrum.platform.keyed_record import KeyedRecord
from knapweeddrum.platform.record_codec import decode_page, encode_records
from knapweeddrum.platform.service_list_codec import decode_endpoint_entry
from knapweeddrum.platform.settings_file import read_settings_file
from knapweeddrum.settings.entry_settings import DEFAULT_MAX_DESCRIPTORS
from knapweeddrum.value.body_framing import BodyFraming
from knapweeddrum.value.host_record import HostRecord
from tests.process.entry.entry_harness import configuration, settings_text

CASE = unittest.TestCase()
ENTRY = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "a",
    "slots": 4,
    "state": "ready",
    "seq": 3,
}


def page(records: list[KeyedRecord], end: int, first: int = 0) -> bytes:
    """Encode a page; the stream ends at ``end``, ``first`` is its oldest offset."""
    head = end.to_bytes(8, "big") + first.to_bytes(8, "big")
    return head + encode_records(records)


@given(
    st.lists(
        st.tuples(st.text(max_size=40), st.one_of(st.none(), st.binary(min_size=1)))
    )
)
def test_encoded_records_are_decoded_unchanged(pairs):
    """Keys and values are decoded unchanged, with offsets; removals are None."""
    records = [KeyedRecord(key, value) for key, value in pairs]
    decoded = decode_page(page(records, 7 + len(records)), 7)
    assert [(r.key, r.value) for r in decoded.records] == pairs
    assert [r.offset for r in decoded.records] == list(range(7, 7 + len(pairs)))
    assert decoded.complete
    assert decoded.next_offset == 7 + len(pairs)


@given(st.binary(max_size=80))
def test_arbitrary_bytes_are_a_page_or_malformed(body):
    """Arbitrary bytes are decoded or raise MalformedRecordError, nothing else."""
    try:
        decode_page(body, 0)
    except MalformedRecordError:
        return


@given(st.binary(max_size=60))
def test_arbitrary_documents_are_malformed(body):
    """Arbitrary bytes as any of these are malformed."""
    for decode in (
        decode_configuration,
        lambda value: decode_endpoint_entry("id", value),
        lambda value: decode_heartbeat(KeyedRecord("h", value)),
        lambda value: decode_token_claim(KeyedRecord("o|i", value)),
        lambda value: decode_version_record(KeyedRecord("k", value)),
    ):
        with CASE.assertRaises(MalformedRecordError):
            decode(body or b"[")


def test_configuration_error_names_the_field():
    """The error message has the path of the invalid field."""
    document = configuration()
    document["routes"][0]["timeoutMs"] = "soon"
    with CASE.assertRaisesRegex(MalformedRecordError, r"routes\[0\]\.timeoutMs"):
        decode_configuration(json.dumps(document).encode())


def test_configuration_is_decoded():
    """Times become seconds; an unknown kind is unsafe, unknown fields are ignored."""
    document = configuration()
    document["routes"][2].pop("service")
    document["routes"][2]["weightedClusters"] = [{"service": "stock", "weight": 90}]
    document["routes"][3]["kind"] = "of-another-day"
    document["tenants"][0]["newField"] = 1
    decoded = decode_configuration(json.dumps(document).encode())
    draft = decoded.find_route("desk.example", "/draft/1")
    assert (draft.kind, draft.timeout) == (RouteKind.STREAMING, 3.0)
    assert decoded.find_route("desk.example", "/book/1").choose_service(0.5) == "stock"
    unknown = decoded.find_route("desk.example", "/read/1")
    assert unknown.kind is RouteKind.UNSAFE
    assert decoded.services["engine"].engine.tokens_per_event == 3
    assert decoded.limits.idle_timeout == 5.0


def test_entries_need_a_valid_state_and_address():
    """An entry with an unknown state, a bad address or a wrong type is malformed."""
    good = ENTRY
    assert decode_endpoint_entry("e", json.dumps(good).encode()).slots == 4
    for change in (
        {"state": "odd"},
        {"address": "host:80"},
        {"slots": "four"},
        {"zone": None},
    ):
        with CASE.assertRaises(MalformedRecordError):
            decode_endpoint_entry("e", json.dumps({**good, **change}).encode())


def test_cold_times_are_seconds_and_no_odd_one_loses_the_entry():
    """An endpoint whose entry is lost gets no requests."""
    for value, seconds in ((1500, 1.5), (0, 0.0), ("soon", None), (-1, None)):
        body = json.dumps({**ENTRY, "coldRemainingMs": value}).encode()
        entry = decode_endpoint_entry("e", body)
        assert (entry.cold_remaining, entry.number) == (seconds, 3)
    assert decode_endpoint_entry("e", json.dumps(ENTRY).encode()).cold_remaining == 0.0


def test_service_without_a_cold_time_has_no_ramp():
    """Its endpoints get as many requests as before."""
    document = configuration()
    document["services"][0].update(coldStartS=20, coldPerS=7.5)
    document["services"][1].update(coldStartS=0, coldPerS=7.5)
    decoded = decode_configuration(json.dumps(document).encode())
    assert decoded.ramps == {"engine": ColdRamp(7.5, 20.0)}


def test_claim_keeps_an_organisation_name_with_the_separator():
    """An organisation's name may contain the key's separator."""
    claim = TokenClaim("a|b", "host-1/entry/1", 7, 5, 6, "host-2/entry/1")
    assert decode_token_claim(encode_token_claim(claim)) == claim


def received(*headers: tuple[bytes, bytes], target: bytes = b"/a/b?x=1"):
    return ReceivedRequest(b"POST", target, HeaderList(headers))


def test_crash_record_is_decoded_unchanged_or_malformed():
    """A record under another key, or of another form, is not taken for crashes."""
    marks = (CrashMark("desk-1/10.0.0.1:80/5", 100.5),)
    record = CrashRecord("9f6c", marks, 20.0)
    encoded = encode_crash_record(record)
    assert decode_crash_record(encoded) == record
    assert encode_crash_record_removal("9f6c").value is None
    for broken in (
        KeyedRecord("other", encoded.value),
        KeyedRecord("9f6c", b"{}"),
        KeyedRecord("9f6c", None),
    ):
        with CASE.assertRaises(MalformedRecordError):
            decode_crash_record(broken)


def test_request_is_decoded():
    """Host has no port, path no query, and the session is the part before the last."""
    req = decode_request(
        received(
            (b"Host", b"Desk.Example:80"),
            (b"Attempt-Id", b"a1"),
            (b"Deadline-Ms", b"1500"),
            (b"Authorization", b"Bearer k1"),
            (b"Token-Usage", b"35,80"),
            (b"Prompt-Prefix", b"aa:10,bb:20,cc:5"),
        )
    )
    assert (req.host_name, req.path) == ("desk.example", "/a/b")
    assert (req.api_key, req.time_left) == ("k1", 1.5)
    assert (req.prompt.input_tokens, req.prompt.output_limit) == (35, 80)
    assert (req.prompt.parts, req.prompt.part_tokens) == (("aa", "bb"), (10, 20))
    assert req.prompt.session == "bb"


def test_malformed_requests_have_status_400():
    """An invalid number in a header or a target that is not a path gives status 400."""
    for bad in (
        received((b"Deadline-Ms", b"soon")),
        received((b"Deadline-Ms", b"nan")),
        received((b"Token-Usage", b"1")),
        received((b"Token-Usage", b"-1,5")),
        received(target=b"*"),
    ):
        with CASE.assertRaises(MalformedRequestError) as caught:
            decode_request(bad)
        assert caught.exception.status == 400


def test_settings_file_error_names_the_field():
    """The error message names the invalid or missing field, or the missing file."""
    text = settings_text(
        "h", "10.0.0.1:1", ["10.0.0.2:1", "10.0.0.2:2", "10.0.0.2:3", "10.0.0.2:4"]
    )
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "host.toml"
        path.write_text(text)
        assert read_settings_file(path).grace_period == 6
        for old, new, field in (
            ("graceS = 6", "graceS = 0", "graceS"),
            ('"10.0.0.1:1"', '"store"', "address"),
            ('nodeName = "h"', "", "nodeName"),
            ("[platform]", "[platform", ""),
        ):
            path.write_text(text.replace(old, new))
            with CASE.assertRaisesRegex(SettingsFileError, field):
                read_settings_file(path)
        with CASE.assertRaisesRegex(SettingsFileError, "No such file"):
            read_settings_file(path.with_name("missing.toml"))


def test_heartbeat_under_the_key_of_another_host_is_malformed():
    """Hosts look up by name what they keep by key, so that both must agree."""
    record = HostRecord("a", "a/1", "a:1", "a:2", "zone-a", ready=True, beat=1)
    odd = dataclasses.replace(encode_heartbeat(record), key="b")
    with CASE.assertRaises(MalformedRecordError):
        decode_heartbeat(odd)


def test_heartbeat_tells_of_shedding_and_one_of_the_version_before_does_not():
    """Hosts of two versions run side by side while a fleet is updated."""
    record = HostRecord("a", "a/1", "a:1", "a:2", "z", ready=True, beat=1, sheds=True)
    encoded = encode_heartbeat(record)
    assert decode_heartbeat(encoded) == record
    fields = json.loads(encoded.value or b"")
    del fields["sheds"]
    before = dataclasses.replace(encoded, value=json.dumps(fields).encode())
    assert decode_heartbeat(before) == dataclasses.replace(record, sheds=False)


def test_entry_with_an_address_that_no_socket_takes_is_malformed():
    """Connecting there fails in another way than connecting to a host that is gone."""
    for address in ("10.0.0.1:70000", "10.0.0.1:0", "10.0.0.999:80", "\u0661.0.0.1:8"):
        entry = {**ENTRY, "address": address}
        with CASE.assertRaises(MalformedRecordError):
            decode_endpoint_entry("e", json.dumps(entry).encode())


def test_token_usage_of_thousands_of_digits_is_malformed():
    """Python refuses to read such a number, and no budget has so many tokens."""
    for digits in (20, 5_000):
        usage = (b"Token-Usage", b"1," + b"9" * digits)
        with CASE.assertRaises(MalformedRequestError):
            decode_request(received(usage))


def test_load_report_of_thousands_of_digits_is_ignored():
    """The answer that names it is passed on all the same."""
    for digits in (20, 5_000):
        headers = HeaderList([(b"Server-Load", b"1,0," + b"9" * digits)])
        head = RawReplyHead(200, headers, BodyFraming.LENGTH)
        assert decode_reply_head(head).load is None


def test_limits_of_the_settings_file_are_read_if_they_are_named():
    """Guards against bounds that are made up where the platform names others."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "host.toml"
        text = settings_text("a", "127.0.0.1:1", ["127.0.0.1:2"] * 4)
        path.write_text(text)
        unnamed = read_settings_file(path)
        path.write_text(f"{text}\n[limits]\nmemoryMb = 200\nmaxFds = 512\n")
        named = read_settings_file(path)
    assert not unnamed.names_memory
    assert unnamed.max_descriptors == DEFAULT_MAX_DESCRIPTORS
    assert (named.memory_bytes, named.max_descriptors) == (200_000_000, 512)
    assert named.names_memory
