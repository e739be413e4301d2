from __future__ import annotations

import dataclasses

from nose2.tools import params

from tests.process.entry.site.loss_judge import (
    Circumstance,
    Excuse,
    Loss,
    LossJudge,
    Verdict,
)
from tests.process.entry.site.site_history import (
    EndpointRun,
    HostEvent,
    Outcome,
    RunEnd,
    SentRequest,
    SiteHistory,
    Span,
)
from tests.process.entry.site.site_shape import LEGAL_AID

LOST = SentRequest(
    "a1",
    "answer",
    "host-1",
    time_limit=15.0,
    is_kept=True,
    begun_at=100.0,
    sent_at=100.1,
    ended_at=102.0,
    outcome=Outcome.UNANSWERED,
)
RUN = EndpointRun("a1", "engine-1", 100.2, 102.0, RunEnd.PEER_LEFT)


def history(req: SentRequest = LOST, *runs: EndpointRun) -> SiteHistory:
    """Return a history with one request."""
    played = SiteHistory(requests=[req])
    for run in runs:
        played.record_run(run)
    return played


def judged(played: SiteHistory) -> Verdict:
    return LossJudge(LEGAL_AID, played).judge()


def only_loss(played: SiteHistory) -> Loss:
    (loss,) = judged(played).losses
    return loss


@params(Outcome.ANSWERED, Outcome.LEFT, Outcome.SILENT, Outcome.OPEN)
def test_requests_that_no_host_has_ended_are_not_lost(outcome: Outcome):
    """Their callers have an answer, have left, or have given up waiting."""
    req = dataclasses.replace(LOST, outcome=outcome)
    assert judged(history(req, RUN)).losses == ()


def test_request_cut_around_sigterm_breaks_the_rule():
    """It was passed on, and its host was told to stop meanwhile."""
    played = history(LOST, RUN)
    played.stops = [HostEvent("host-1", 101.0, 102.0)]
    assert judged(played).broken() == [Circumstance.STOP]


def test_request_taken_by_the_restarted_process_counts_beside_the_sigterm():
    """The rule holds until a second after the grace period."""
    played = history(LOST, RUN)
    played.stops = [HostEvent("host-1", 92.0, 95.0)]
    assert judged(played).broken() == [Circumstance.STOP]


def test_sigterm_of_another_host_is_no_circumstance():
    """Only the host that took the request counts."""
    played = history(LOST, RUN)
    played.stops = [HostEvent("host-2", 101.0, 102.0)]
    assert Circumstance.STOP not in only_loss(played).circumstances


def test_request_cut_after_sighup_breaks_the_rule():
    """A reload ends no answer."""
    played = history(LOST, RUN)
    played.hangups = [HostEvent("host-1", 99.0)]
    assert judged(played).broken() == [Circumstance.HANGUP]


def test_losses_beside_configurations_count_by_how_frequent_they_are():
    """As frequent as at other times is none of the configuration's doing."""
    played = history(LOST, RUN)
    played.configurations = [99.0]
    assert judged(played).broken() == [Circumstance.CONFIGURATION]
    for number in range(2, 4):
        other = dataclasses.replace(
            LOST, attempt=f"a{number}", begun_at=50.0, sent_at=50.1, ended_at=52.0
        )
        played.requests.append(other)
        played.record_run(dataclasses.replace(RUN, attempt=other.attempt))
    assert judged(played).broken() == []


def test_more_than_three_kept_connections_closed_on_a_request_break_the_rule():
    """At any time, at one host."""
    played = SiteHistory()
    for number in range(4):
        assert judged(played).broken() == []
        played.requests.append(dataclasses.replace(LOST, attempt=f"a{number}"))
        played.record_run(dataclasses.replace(RUN, attempt=f"a{number}"))
    assert judged(played).broken() == [Circumstance.KEPT]


def test_end_of_a_drain_excuses_no_kept_connection_closed_on_a_request():
    """Requests that ended without any answer count though they were sent early."""
    played = SiteHistory(stops=[HostEvent("host-1", 100.0, 107.7)])
    for number in range(4):
        req = dataclasses.replace(LOST, attempt=f"a{number}", ended_at=107.6)
        played.requests.append(req)
        played.record_run(dataclasses.replace(RUN, attempt=req.attempt))
    assert judged(played).counted == []
    assert judged(played).broken() == [Circumstance.KEPT]


def test_kept_connections_closed_on_a_request_count_over_all_hosts():
    """Four in all, at two hosts."""
    played = SiteHistory()
    for number in range(4):
        host = f"host-{number % 2}"
        req = dataclasses.replace(LOST, attempt=f"a{number}", host=host)
        played.requests.append(req)
        played.record_run(dataclasses.replace(RUN, attempt=req.attempt))
    assert judged(played).broken() == [Circumstance.KEPT]


def test_answer_cut_after_an_earlier_endpoint_broke_off_counts():
    """The host repeated the request; it cut the answer of the second endpoint."""
    first = dataclasses.replace(RUN, ended_at=100.5, end=RunEnd.BROKE_OFF)
    second = dataclasses.replace(RUN, endpoint="engine-2", arrived_at=100.6)
    assert only_loss(history(LOST, first, second)).excuse is None


def test_answer_begun_before_a_configuration_and_cut_after_it_is_beside_it():
    """A new configuration may cut what is under way."""
    played = history(LOST, RUN)
    played.configurations = [101.0]
    assert Circumstance.CONFIGURATION in only_loss(played).circumstances


def test_request_lost_while_only_the_store_is_disturbed_breaks_the_rule():
    """The store excuses nothing."""
    played = history(LOST, RUN)
    played.store_troubles = [Span(100.5, 101.5)]
    assert judged(played).broken() == [Circumstance.STORE]


def test_unread_request_that_was_sent_long_before_the_end_counts():
    """No endpoint ran it, and its caller waited for an answer."""
    played = history()
    played.stops = [HostEvent("host-1", 101.0, 102.0)]
    assert judged(played).broken() == [Circumstance.STOP]


@params(
    (dataclasses.replace(LOST, time_limit=2.0), (RUN,), Excuse.TIME_LIMIT),
    (
        LOST,
        (dataclasses.replace(RUN, end=RunEnd.BROKE_OFF),),
        Excuse.ENDPOINT,
    ),
    (dataclasses.replace(LOST, sent_at=101.9), (), Excuse.CROSSED),
    (dataclasses.replace(LOST, sent_at=None), (), Excuse.UNFINISHED),
)
def test_what_the_rule_leaves_out_is_excused(
    req: SentRequest, runs: tuple[EndpointRun, ...], excuse: Excuse
):
    """Each excuse is told apart."""
    assert only_loss(history(req, *runs)).excuse is excuse


def test_request_sent_early_in_a_drain_may_be_cut_at_its_end_only():
    """The endpoint was at work in the last sixth of the grace period."""
    req = dataclasses.replace(LOST, ended_at=107.6)
    played = history(req, RUN)
    played.stops = [HostEvent("host-1", 100.0, 107.7)]
    assert only_loss(played).excuse is Excuse.DRAIN_END
    played.stops = [HostEvent("host-1", 96.9, 107.7)]
    assert only_loss(played).excuse is None


def test_second_sigterm_does_not_move_the_end_of_a_drain():
    """Its time counts from the first."""
    req = dataclasses.replace(LOST, ended_at=106.8)
    played = history(req, RUN)
    played.stops = [HostEvent("host-1", 98.0, 106.9), HostEvent("host-1", 100.0, 106.9)]
    assert only_loss(played).excuse is Excuse.DRAIN_END
    played.stops = [HostEvent("host-1", 96.0, 106.9), HostEvent("host-1", 100.0, 106.9)]
    assert only_loss(played).excuse is None


def test_request_at_a_host_that_was_killed_is_excused():
    """A kill or a suspension is no planned work."""
    played = history(LOST, RUN)
    played.disturbances = [HostEvent("host-1", 98.0, 98.0)]
    assert only_loss(played).excuse is Excuse.DISTURBED
