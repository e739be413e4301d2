from __future__ import annotations

from nose2.tools import params

from knapweeddrum.core.routing.attempt_result import AttemptResult
from knapweeddrum.core.routing.leaving_source import LeavingSource
from tests.core.routing.fixtures import ENDPOINT_NAMES, new_table, report


def _candidates(table, now, idempotent=True):
    return [view.name for view in table.candidates(ENDPOINT_NAMES, now, idempotent)]


def _fail(table, name, at, times=5):
    for _ in range(times):
        table.begin(name, at)
        table.finish(name, AttemptResult.FAILURE, at, at)


def _succeed(table, name, at):
    table.begin(name, at)
    table.finish(name, AttemptResult.SUCCESS, at, at)


@params(*LeavingSource)
def test_leaving_endpoint_gets_nothing_from_first_notice(source):
    """A notice from any source stops new requests; those in flight stay counted."""
    table = new_table()
    table.begin(ENDPOINT_NAMES[0], 1.0)
    table.add_leaving_notice(ENDPOINT_NAMES[0], source, 2.0)
    assert _candidates(table, 2.0) == list(ENDPOINT_NAMES[1:])
    assert table.view(ENDPOINT_NAMES[0]).in_flight == 1


def test_all_leaving_leaves_no_candidate():
    """Ignoring ejections never brings back a leaving endpoint."""
    table = new_table()
    for name in ENDPOINT_NAMES:
        table.add_leaving_notice(name, LeavingSource.HOST_LIST, 1.0)
    assert _candidates(table, 1.0) == []


def test_older_report_does_not_withdraw_a_notice():
    """Only a report measured after the connection was closed withdraws the notice."""
    table = new_table()
    table.add_leaving_notice(ENDPOINT_NAMES[0], LeavingSource.CONNECTION_CLOSE, 5.0)
    report(table, ENDPOINT_NAMES[0], 0, at=4.0)
    assert ENDPOINT_NAMES[0] not in _candidates(table, 5.0)
    report(table, ENDPOINT_NAMES[0], 0, at=6.0)
    assert ENDPOINT_NAMES[0] in _candidates(table, 6.0)


def test_report_does_not_overrule_operator_or_host_list():
    """A load report doesn't withdraw notices that the endpoint may not know of."""
    for source in (LeavingSource.OPERATOR, LeavingSource.HOST_LIST):
        table = new_table()
        table.add_leaving_notice(ENDPOINT_NAMES[0], source, 1.0)
        report(table, ENDPOINT_NAMES[0], 0, at=9.0)
        assert ENDPOINT_NAMES[0] not in _candidates(table, 9.0)


def test_late_updates_of_removed_endpoint_are_ignored():
    """Reports, notices and results that arrive after a removal change nothing."""
    table = new_table()
    table.begin(ENDPOINT_NAMES[0], 1.0)
    table.remove(ENDPOINT_NAMES[0])
    report(table, ENDPOINT_NAMES[0], 1, at=2.0)
    table.add_leaving_notice(ENDPOINT_NAMES[0], LeavingSource.HOST_LIST, 2.0)
    table.finish(ENDPOINT_NAMES[0], AttemptResult.FAILURE, 1.0, 2.0)
    assert table.names() == ENDPOINT_NAMES[1:]


def test_failing_endpoint_is_ejected_and_probed_one_at_a_time():
    """After the backoff one idempotent request at a time is sent as a probe."""
    table = new_table()
    _fail(table, ENDPOINT_NAMES[0], 1.0)
    assert ENDPOINT_NAMES[0] not in _candidates(table, 2.9)
    assert ENDPOINT_NAMES[0] in _candidates(table, 3.1)
    assert ENDPOINT_NAMES[0] not in _candidates(table, 3.1, idempotent=False)
    table.begin(ENDPOINT_NAMES[0], 3.1)
    assert ENDPOINT_NAMES[0] not in _candidates(table, 3.2)
    table.finish(ENDPOINT_NAMES[0], AttemptResult.CANCELLED, 3.1, 3.3)
    assert ENDPOINT_NAMES[0] in _candidates(table, 3.3)


def test_readmission_takes_several_probes():
    """One successful probe doesn't readmit an endpoint; three in a row do."""
    table = new_table()
    _fail(table, ENDPOINT_NAMES[0], 1.0)
    for at in (3.1, 3.2):
        _succeed(table, ENDPOINT_NAMES[0], at)
        assert ENDPOINT_NAMES[0] not in _candidates(table, at, idempotent=False)
    _succeed(table, ENDPOINT_NAMES[0], 3.3)
    assert ENDPOINT_NAMES[0] in _candidates(table, 3.3, idempotent=False)


def test_flapping_endpoint_is_ejected_for_longer_each_time():
    """The backoff doubles while the endpoint fails soon after each readmission."""
    table = new_table()
    now = 0.0
    durations = []
    for _ in range(4):
        _fail(table, ENDPOINT_NAMES[0], now)
        until = table.view(ENDPOINT_NAMES[0]).ejected_until
        durations.append(until - now)
        for _ in range(3):
            _succeed(table, ENDPOINT_NAMES[0], until)
        now = until + 1.0
    assert durations == [2.0, 4.0, 8.0, 16.0]


def test_failures_from_before_an_ejection_do_not_extend_it():
    """A failed attempt that began before the ejection doesn't prolong it."""
    table = new_table()
    table.begin(ENDPOINT_NAMES[0], 0.5)
    _fail(table, ENDPOINT_NAMES[0], 1.0)
    table.finish(ENDPOINT_NAMES[0], AttemptResult.FAILURE, 0.5, 9.0)
    assert table.view(ENDPOINT_NAMES[0]).ejected_until == 3.0


def test_ejections_are_ignored_when_most_endpoints_fail():
    """With three of four endpoints failing, all stay candidates."""
    table = new_table()
    for name in ENDPOINT_NAMES[:3]:
        _fail(table, name, 1.0)
    assert _candidates(table, 1.1) == list(ENDPOINT_NAMES)


def test_request_that_is_not_idempotent_avoids_failing_endpoints():
    """The request is refused while all are ejected, and may be a probe afterwards."""
    table = new_table()
    for name in ENDPOINT_NAMES:
        _fail(table, name, 1.0)
    assert _candidates(table, 1.1, idempotent=False) == []
    assert _candidates(table, 3.1, idempotent=False) == list(ENDPOINT_NAMES)


def test_other_routers_load_excludes_own_requests_at_the_time_of_the_report():
    """Own requests that a delayed report includes aren't counted twice."""
    table = new_table()
    for at in (1.0, 2.0, 3.0):
        table.begin(ENDPOINT_NAMES[0], at)
    table.finish(ENDPOINT_NAMES[0], AttemptResult.SUCCESS, 1.0, 3.5)
    report(table, ENDPOINT_NAMES[0], 5, at=2.5)
    view = table.view(ENDPOINT_NAMES[0])
    assert (view.other_routers_load(), view.in_flight) == (3, 2)
