from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from knapweeddrum.core.billing.part_verdict import PartVerdict
from knapweeddrum.core.billing.run_meter import RunMeter
from knapweeddrum.core.billing.run_outcome import RunOutcome

PART_COUNT = 4
PARTS = st.tuples(st.sampled_from(["a", "b", "other"]), st.integers(0, PART_COUNT - 1))


def offer(meter: RunMeter, run_id: str, index: int) -> PartVerdict:
    """Offer part ``index`` of a run of 4 parts with 10 prompt tokens."""
    return meter.accept(run_id, index, index == PART_COUNT - 1, 10, index + 1)


@given(st.lists(PARTS, max_size=30))
def test_caller_gets_parts_of_the_current_run_in_order(parts):
    """The caller gets parts 0, 1, … of the current run once each, whatever arrives."""
    meter = RunMeter("r")
    meter.start_run("a")
    meter.start_run("b")
    accepted = [
        (run_id, index)
        for run_id, index in parts
        if offer(meter, run_id, index) is PartVerdict.ACCEPTED
    ]
    assert accepted == [("b", index) for index in range(len(accepted))]
    assert meter.is_complete == (len(accepted) == PART_COUNT)


def test_figures_cover_all_runs():
    """The figures sum the tokens of all runs and state those of earlier ones."""
    meter = RunMeter("r")
    meter.start_run("a")
    offer(meter, "a", 0)
    meter.start_run("b")
    for index in range(PART_COUNT):
        offer(meter, "b", index)
    assert meter.unsettled_runs() == ("a",)
    meter.record_usage("a", 13, running=False)
    figures = meter.figures(RunOutcome.FINISHED)
    assert (figures.tokens, figures.abandoned) == (27, 13)
    assert meter.unsettled_runs() == ()


def test_truncated_answer_is_settled_as_cut():
    """An answer without its final part is settled as cut."""
    meter = RunMeter("r")
    meter.start_run("a")
    offer(meter, "a", 0)
    assert offer(meter, "a", PART_COUNT - 1) is PartVerdict.EARLY
    assert meter.figures(RunOutcome.FINISHED).outcome == "cut"
