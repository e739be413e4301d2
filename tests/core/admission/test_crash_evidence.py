from __future__ import annotations

from knapweeddrum.core.admission.crash_evidence import (
    EVIDENCE_LIFETIME_SECONDS,
    REFUSED_PROBES,
    REPROBE_SECONDS,
    UNANSWERED_PROBES,
    CrashEvidence,
    CrashSign,
    Listing,
    ProbeResult,
)


def _judge(evidence, *probes):
    signs = [evidence.judge(Listing.LISTED, probe, 11.0) for probe in probes]
    return signs[-1]


def test_endpoint_that_refuses_connections_has_crashed():
    """Refused probes in a row show a crash; a single one doesn't."""
    evidence = CrashEvidence(10.0)
    assert evidence.needs_probe(Listing.LISTED, 11.0)
    assert _judge(evidence, *[ProbeResult.REFUSED] * (REFUSED_PROBES - 1)) is None
    assert _judge(evidence, ProbeResult.REFUSED) is CrashSign.REFUSED


def test_refused_probes_with_an_accepted_one_between_show_no_crash():
    """An endpoint that accepts a connection is not taken for a crashed one."""
    evidence = CrashEvidence(10.0)
    probes = (ProbeResult.REFUSED, ProbeResult.CONNECTED, ProbeResult.REFUSED)
    assert _judge(evidence, *probes) is None


def test_reset_connection_of_a_running_endpoint_is_no_crash():
    """Data after the loss shows life; one accepted probe is enough."""
    evidence = CrashEvidence(10.0)
    assert not evidence.is_alive(10.05)
    assert evidence.is_alive(10.5)
    assert _judge(evidence, ProbeResult.CONNECTED) is None
    assert not evidence.needs_probe(Listing.LISTED, 11.0)


def test_connection_accepted_within_the_end_of_a_process_does_not_hide_its_crash():
    """The listening socket may outlive the connections for a moment."""
    evidence = CrashEvidence(10.0)
    assert evidence.judge(Listing.LISTED, ProbeResult.CONNECTED, 10.01) is None
    assert evidence.needs_probe(Listing.LISTED, 11.0)
    assert _judge(evidence, *[ProbeResult.REFUSED] * REFUSED_PROBES) is (
        CrashSign.REFUSED
    )


def test_connection_accepted_before_a_further_loss_does_not_hide_a_crash():
    """What was seen of the first loss says nothing of the second."""
    evidence = CrashEvidence(10.0)
    assert _judge(evidence, ProbeResult.CONNECTED) is None
    evidence.renew(13.0)
    assert evidence.needs_probe(Listing.LISTED, 11.0)
    assert not evidence.is_alive(12.9)
    assert not evidence.is_expired(13.0 + EVIDENCE_LIFETIME_SECONDS)
    assert _judge(evidence, *[ProbeResult.REFUSED] * REFUSED_PROBES) is (
        CrashSign.REFUSED
    )


def test_cut_path_to_a_listed_endpoint_is_no_crash():
    """Unanswered probes show nothing while the endpoint renews its entry."""
    evidence = CrashEvidence(10.0)
    assert _judge(evidence, *[ProbeResult.UNANSWERED] * 5) is None
    assert evidence.needs_probe(Listing.LISTED, 11.0)


def test_dark_endpoint_among_answering_neighbours_has_crashed():
    """It needs no lapsed entry: the path works, as the neighbours' data show."""
    evidence = CrashEvidence(10.0)
    for number in range(UNANSWERED_PROBES):
        sign = evidence.judge(
            Listing.LISTED, ProbeResult.UNANSWERED, 10.2 + number, 10.9
        )
        is_last = number == UNANSWERED_PROBES - 1
        assert sign is (CrashSign.UNANSWERED if is_last else None)


def test_endpoint_behind_a_cut_path_has_not_crashed():
    """Its neighbours are silent too, or were heard before the loss only."""
    evidence = CrashEvidence(10.0)
    for number in range(2 * UNANSWERED_PROBES):
        now = 10.2 + number
        probe = ProbeResult.UNANSWERED
        assert evidence.judge(Listing.LISTED, probe, now, 10.05) is None


def test_unanswered_probes_with_an_accepted_one_between_show_no_crash():
    """A packet may be lost; the endpoint that accepts goes on."""
    evidence = CrashEvidence(10.0)
    probes = [ProbeResult.UNANSWERED] * (UNANSWERED_PROBES - 1)
    for probe in (*probes, ProbeResult.CONNECTED, *probes):
        assert evidence.judge(Listing.LISTED, probe, 11.0, 10.9) is None


def test_endpoint_that_accepted_a_connection_is_probed_again():
    """It may crash afterwards, with the request still waiting there."""
    evidence = CrashEvidence(10.0)
    assert _judge(evidence, ProbeResult.CONNECTED) is None
    assert not evidence.needs_probe(Listing.LISTED, 11.1)
    assert evidence.needs_probe(Listing.LISTED, 11.0 + REPROBE_SECONDS)


def test_silent_endpoint_whose_entry_lapsed_has_crashed():
    """An endpoint that neither answers nor renews its entry has crashed."""
    evidence = CrashEvidence(10.0)
    assert _judge(evidence, ProbeResult.UNANSWERED) is None
    sign = evidence.judge(Listing.GONE, ProbeResult.UNANSWERED, 11.0)
    assert sign is CrashSign.UNLISTED


def test_unlisted_endpoint_that_answers_has_not_crashed():
    """An endpoint that leaves as planned accepts connections without an entry."""
    evidence = CrashEvidence(10.0)
    assert evidence.judge(Listing.GONE, ProbeResult.CONNECTED, 11.0) is None


def test_endpoint_with_a_successor_has_crashed():
    """A restart that was too fast for a probe is seen in the service list."""
    evidence = CrashEvidence(10.0)
    assert _judge(evidence, ProbeResult.CONNECTED) is None
    assert evidence.judge(Listing.REPLACED, None, 11.0) is CrashSign.REPLACED


def test_unexplained_loss_is_given_up():
    """A loss is examined for a limited time."""
    evidence = CrashEvidence(10.0)
    assert not evidence.is_expired(10.0 + EVIDENCE_LIFETIME_SECONDS)
    assert evidence.is_expired(10.1 + EVIDENCE_LIFETIME_SECONDS)
