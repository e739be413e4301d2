from __future__ import annotations

from knapweeddrum.core.admission.crash_histories import MAX_SUSPECTS
from knapweeddrum.core.admission.crash_policy import MAX_CRASHES, CrashPolicy
from knapweeddrum.core.admission.crash_register import (
    ANSWER_MEMORY_SECONDS,
    MAX_REMEMBERED_ANSWERS,
    REPEATED_CRASH_LIFETIME_SECONDS,
    SUSPECT_LIFETIME_SECONDS,
    CrashRegister,
)
from knapweeddrum.core.admission.placement import Placement
from knapweeddrum.core.admission.run_end import RunEnd
from knapweeddrum.message.call.crash_mark import CrashMark
from knapweeddrum.message.call.crash_record import CrashRecord
from knapweeddrum.value.refusal import Refusal

POLICY = CrashPolicy(
    suspect_crashes=2,
    sole_suspect_crashes=MAX_CRASHES,
    same_crash_seconds=float("inf"),
    cut_memory_seconds=10.0,
    acquits=True,
)


def _register():
    return CrashRegister(POLICY)


def _crash(register, names, endpoint, at):
    for name in names:
        register.begin(f"{name}/{endpoint}", name, endpoint)
    register.record_crash(endpoint, at)
    for name in names:
        register.end(f"{name}/{endpoint}", RunEnd.CUT, at)


def _answer(register, name, at):
    register.begin(f"{name}@{at}", name, "desk-9")
    register.end(f"{name}@{at}", RunEnd.COMPLETED, at)


def _is_refused_for_good(register, name, at):
    decision = register.decide(name, at)
    return isinstance(decision, Refusal) and decision.retry_after is None


def test_request_without_an_answer_is_refused_after_three_crashes():
    """One crash changes nothing, two make it a suspect, three end it."""
    register = _register()
    _crash(register, ("poison", "beside"), "desk-1/1", 10.0)
    assert register.decide("poison", 11.0) == Placement()
    _crash(register, ("poison",), "desk-2/1", 20.0)
    assert register.decide("poison", 21.0).suspect
    _crash(register, ("poison",), "desk-1/2", 30.0)
    assert _is_refused_for_good(register, "poison", 30.0)
    assert register.decide("beside", 31.0) == Placement()


def test_popular_request_survives_a_rack_that_crashes_three_times():
    """What was answered whole is not marked when several endpoints crash at once."""
    register = _register()
    for number in range(3):
        at = 100.0 + 30 * number
        _answer(register, "popular", at - 1)
        for rack in ("desk-1", "desk-2", "desk-3"):
            _crash(register, ("popular", f"other-{number}"), f"{rack}/{number}", at)
        assert register.decide("popular", at + 1) == Placement()


def test_answer_at_another_host_clears_a_blamed_request():
    """A host that answered the request clears what the others marked, for all."""
    first, second = _register(), _register()
    _answer(second, "new", 99.0)
    for rack in ("desk-1", "desk-2", "desk-3"):
        _crash(first, ("new",), f"{rack}/1", 100.0)
    assert _is_refused_for_good(first, "new", 100.5)
    second.merge(first.changes().records, 101.0)
    first.merge(second.changes().records, 101.1)
    for register in (first, second):
        assert register.decide("new", 101.2) == Placement()


def test_answer_of_a_copy_under_way_clears_a_blamed_request():
    """A copy that was running when its siblings were cut may still prove it."""
    register = _register()
    register.begin("copy", "new", "desk-4/1")
    for rack in ("desk-1", "desk-2", "desk-3"):
        _crash(register, ("new",), f"{rack}/1", 100.0)
    assert _is_refused_for_good(register, "new", 100.5)
    register.end("copy", RunEnd.COMPLETED, 101.0)
    assert register.decide("new", 101.0) == Placement()


def test_one_crash_is_counted_once_when_hosts_notice_it_at_different_times():
    """Marks of one instance are one crash, however far the hosts' clocks are apart."""
    register = _register()
    for at in (100.0, 104.0, 163.0):
        register.merge([CrashRecord("a", (CrashMark("desk-1/1", at),), 0.0)])
    assert register.crash_count("a", 164.0) == 1


def test_old_answer_proves_nothing():
    """A request is marked again once its answer was too long ago."""
    register = _register()
    _answer(register, "a", 100.0)
    _crash(register, ("a",), "desk-1/1", 100.0 + ANSWER_MEMORY_SECONDS)
    assert register.crash_count("a", 101.0 + ANSWER_MEMORY_SECONDS) == 1


def test_run_cut_by_an_endpoint_that_goes_on_is_not_marked():
    """A reset connection is forgotten when the endpoint turns out to be alive."""
    register = _register()
    register.begin("r", "a", "desk-1/1")
    register.end("r", RunEnd.CUT, 100.0)
    register.forget_cuts("desk-1/1")
    assert register.record_crash("desk-1/1", 101.0) == ()


def test_operator_can_list_and_clear_a_blamed_request():
    """A cleared request runs again, also at hosts that learn it later."""
    register, other = _register(), _register()
    for number in range(MAX_CRASHES):
        _crash(register, ("poison",), f"desk-{number}/1", 100.0 + number)
    other.merge(register.changes().records)
    assert register.fingerprints(110.0) == ["poison"]
    assert register.clear("poison")
    assert not register.clear("poison")
    other.merge(register.changes().records)
    assert register.decide("poison", 110.0) == Placement()
    assert other.decide("poison", 110.0) == Placement()


def test_records_end_by_time():
    """A single crash is forgotten sooner than several; both are dropped."""
    register = _register()
    _crash(register, ("once",), "desk-1/1", 100.0)
    for number in range(MAX_CRASHES):
        _crash(register, ("poison",), f"desk-{number}/2", 100.0)
    assert register.expire(100.0 + SUSPECT_LIFETIME_SECONDS) == ("once",)
    assert register.expire(100.0 + REPEATED_CRASH_LIFETIME_SECONDS) == ("poison",)
    assert not register.knows("poison")


def test_remembered_answers_are_bounded():
    """The oldest answers are forgotten first."""
    register = _register()
    for number in range(MAX_REMEMBERED_ANSWERS + 1):
        _answer(register, f"r{number}", float(number))
    _crash(register, ("r0", f"r{MAX_REMEMBERED_ANSWERS}"), "desk-1/1", 100.0)
    assert register.fingerprints(101.0) == ["r0"]


def test_many_requests_beside_one_crash_do_not_displace_a_blamed_one():
    """When the register is full, what has the fewest crashes is dropped."""
    register = _register()
    for number in range(MAX_CRASHES):
        _crash(register, ("poison",), f"desk-{number}/1", 100.0 + number)
    beside = tuple(f"r{number}" for number in range(MAX_SUSPECTS + 5))
    _crash(register, beside, "desk-9/1", 200.0)
    assert _is_refused_for_good(register, "poison", 201.0)
