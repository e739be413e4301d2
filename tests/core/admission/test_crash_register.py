from __future__ import annotations

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from knapweeddrum.core.admission.crash_histories import (
    MAX_SUSPECTS,
    RECORDS_PER_MESSAGE,
)
from knapweeddrum.core.admission.crash_history import SAME_CRASH_SECONDS
from knapweeddrum.core.admission.crash_register import (
    MARK_ARRIVAL_SECONDS,
    MAX_CRASHES,
    SUSPECT_LIFETIME_SECONDS,
    CrashRegister,
)
from knapweeddrum.core.admission.placement import Placement
from knapweeddrum.core.admission.request_fingerprint import request_fingerprint
from knapweeddrum.core.admission.run_end import RunEnd
from knapweeddrum.message.call.crash_mark import CrashMark
from knapweeddrum.message.call.crash_record import CrashRecord
from knapweeddrum.value.refusal import Refusal
from knapweeddrum.value.refusal_reason import RefusalReason


def _crash(register, fingerprints, endpoint, at):
    for name in fingerprints:
        register.begin(f"{name}@{at}", name, endpoint)
    register.record_crash(endpoint, at)
    for name in fingerprints:
        register.end(f"{name}@{at}", RunEnd.CUT, at)


def test_fingerprint_depends_on_route_and_body():
    """Fingerprints are equal for the same route and body, and differ between routes."""
    first = request_fingerprint("model-desk", b"tender")
    assert first == request_fingerprint("model-desk", b"tender")
    assert first != request_fingerprint("modelo-eleg", b"tender")


def test_only_request_in_two_crashes_is_refused():
    """The only request in all crashes is refused; others that ran beside it are not."""
    register = CrashRegister()
    _crash(register, ("poison", "a", "b"), "desk-1", 100.0)
    _crash(register, ("poison", "c"), "desk-2", 200.0)
    held = register.decide("poison", 200.0 + MARK_ARRIVAL_SECONDS - 0.1)
    assert (held.reason, held.retry_after) == (
        RefusalReason.POISONOUS,
        MARK_ARRIVAL_SECONDS,
    )
    final = register.decide("poison", 200.0 + MARK_ARRIVAL_SECONDS)
    assert (final.reason, final.retry_after) == (RefusalReason.POISONOUS, None)
    for name in "abc":
        assert isinstance(register.decide(name, 210.0), Placement)


def test_request_beside_the_cause_of_two_crashes_is_not_refused():
    """Two requests in the same two crashes stay suspect; one in a third is blamed."""
    register = CrashRegister()
    for endpoint, at in (("desk-1", 100.0), ("desk-2", 200.0)):
        _crash(register, ("poison", "innocent"), endpoint, at)
    assert register.decide("innocent", 210.0).suspect
    assert register.decide("poison", 210.0).suspect
    _crash(register, ("poison",), "desk-3", 300.0)
    assert register.crash_count("poison", 300.0) == MAX_CRASHES
    assert register.decide("poison", 300.0).retry_after is None
    assert register.decide("innocent", 310.0).suspect


def test_one_crash_seen_twice_counts_once():
    """Marks of one crash by several streams or routers count as one crash."""
    register = CrashRegister()
    _crash(register, ("a",), "desk-1", 100.0)
    register.merge([CrashRecord("a", (CrashMark("desk-1", 101.0),), 0.0)])
    assert register.crash_count("a", 102.0) == 1
    _crash(register, ("a",), "desk-1", 101.0 + 2 * SAME_CRASH_SECONDS)
    assert register.crash_count("a", 115.0) == 2


def test_stream_cut_just_before_the_crash_is_known_is_marked():
    """A request whose stream was cut shortly before the crash is known gets a mark."""
    register = CrashRegister()
    register.begin("r1", "a", "desk-1")
    register.end("r1", RunEnd.CUT, 100.0)
    assert register.record_crash("desk-1", 101.0) == ("a",)
    assert register.record_crash("desk-1", 102.0) == ()


def test_suspicion_ends_with_a_complete_answer_or_by_time():
    """A complete answer or time ends a suspicion; a cancelled run doesn't."""
    register = CrashRegister()
    _crash(register, ("a", "b"), "desk-1", 100.0)
    register.begin("r1", "a", "desk-2")
    register.end("r1", RunEnd.CANCELLED, 101.0)
    assert register.decide("a", 101.0).suspect
    register.begin("r2", "a", "desk-2")
    register.end("r2", RunEnd.COMPLETED, 102.0)
    assert register.decide("a", 102.0) == Placement()
    assert register.decide("b", 100.0 + SUSPECT_LIFETIME_SECONDS) == Placement()


def test_request_that_crashes_only_sometimes_is_still_blamed():
    """A complete answer clears one crash only, and none of a blamed request."""
    register = CrashRegister()
    for at in (100.0, 200.0):
        _crash(register, ("poison", "beside"), "desk-1", at)
    register.begin("r", "poison", "desk-2")
    register.end("r", RunEnd.COMPLETED, 250.0)
    assert register.crash_count("poison", 250.0) == 1
    _crash(register, ("poison",), "desk-1", 300.0)
    register.begin("late", "poison", "desk-2")
    register.end("late", RunEnd.COMPLETED, 401.0)
    assert register.decide("poison", 402.0).retry_after is None


def test_suspects_run_once_at_a_time_and_at_separate_endpoints():
    """A suspect is not placed beside another suspect, nor run twice at once."""
    register = CrashRegister()
    _crash(register, ("a", "b"), "desk-1", 100.0)
    register.begin("r1", "a", "desk-2")
    assert register.decide("b", 101.0) == Placement(True, frozenset({"desk-2"}))
    again = register.decide("a", 101.0)
    assert isinstance(again, Refusal)
    assert again.retry_after > 0.0


def test_register_is_bounded():
    """The number of records kept and the records per message are bounded."""
    register = CrashRegister()
    for number in range(MAX_SUSPECTS + 5):
        _crash(register, (f"r{number}",), f"desk-{number}", float(number + 1))
    assert register.crash_count("r0", 1.0) == 0
    batch = register.changes()
    assert len(batch.records) == RECORDS_PER_MESSAGE
    assert register.changes(batch.version).records[0] not in batch.records


MARKS = st.builds(
    CrashMark, st.sampled_from(("desk-1", "desk-2")), st.integers(1, 40).map(float)
)
RECORDS = st.lists(
    st.builds(
        CrashRecord,
        st.sampled_from(("a", "b")),
        st.lists(MARKS, max_size=20).map(tuple),
        st.integers(0, 30).map(float),
    ),
    max_size=8,
)


@settings(derandomize=True, deadline=None, max_examples=150)
@given(RECORDS, st.integers(0, 99))
def test_merge_is_idempotent_and_commutative(records, seed):
    """Merging the same records in any order and number gives the same records."""
    first, second = CrashRegister(), CrashRegister()
    first.merge(records)
    shuffled = [*records, *records]
    random.Random(seed).shuffle(shuffled)
    second.merge(shuffled)
    assert set(first.changes().records) == set(second.changes().records)
