"""Metering of one request over its runs."""

from __future__ import annotations

from knapweeddrum.core.billing.part_verdict import PartVerdict
from knapweeddrum.core.billing.run_outcome import RunOutcome
from knapweeddrum.core.billing.run_tally import RunTally
from knapweeddrum.core.budget.request_usage import RequestUsage


class RunMeter:
    """Accepts the parts of a request's current run and adds up what all runs consumed.

    One request has one meter at one router. A new run replaces the current one, whose
    parts are foreign from then on; what it consumed still counts.
    """

    def __init__(self, request_key: str) -> None:
        self._request_key = request_key
        self._tallies: dict[str, RunTally] = {}
        self._run_id = ""

    @property
    def run_id(self) -> str:
        """Return the current run; empty before the first."""
        return self._run_id

    @property
    def next_index(self) -> int:
        """Return the index of the part that the caller gets next."""
        tally = self._tallies.get(self._run_id)
        return tally.next_index if tally else 0

    @property
    def is_complete(self) -> bool:
        """Tell whether every part up to the final one was accepted."""
        tally = self._tallies.get(self._run_id)
        return tally is not None and tally.is_complete

    @property
    def tokens(self) -> int:
        """Return the tokens that all runs are known to have consumed."""
        return sum(tally.tokens for tally in self._tallies.values())

    def start_run(self, run_id: str, first_index: int = 0) -> None:
        """Make ``run_id`` the current run; its first part here is ``first_index``.

        A run that is known already goes on at ``next_index``.
        """
        self._run_id = run_id
        self._tallies.setdefault(run_id, RunTally(next_index=first_index))

    def accept(
        self,
        run_id: str,
        index: int,
        final: bool,
        prompt_tokens: int,
        output_tokens: int,
    ) -> PartVerdict:
        """Take one part; only an ACCEPTED one may go to the caller.

        The figures are cumulative. Parts of known runs raise the run's figure even
        when they come late; parts of unknown runs belong to another request.
        """
        tally = self._tallies.get(run_id)
        if tally is None:
            return PartVerdict.FOREIGN
        tally.note_usage(prompt_tokens + output_tokens, final)
        if run_id != self._run_id:
            return PartVerdict.FOREIGN
        return tally.accept(index, final)

    def note_usage(self, run_id: str, tokens: int, running: bool) -> None:
        """Take the engine's own figure of a run; it is final unless ``running``."""
        tally = self._tallies.get(run_id)
        if tally is None:
            return
        tally.note_usage(tokens, final=not running)

    def unsettled_runs(self) -> tuple[str, ...]:
        """Return the runs whose final figure must still be asked of the engine."""
        return tuple(
            run_id
            for run_id, tally in self._tallies.items()
            if not tally.is_usage_final
        )

    def figures(self, outcome: RunOutcome) -> RequestUsage:
        """Return what the request consumed, for its settlement.

        It is exact when ``unsettled_runs`` is empty, else a lower bound. FINISHED is
        only given to a complete answer; a truncated one is CUT.
        """
        if outcome is RunOutcome.FINISHED and not self.is_complete:
            outcome = RunOutcome.CUT
        current = self._tallies.get(self._run_id)
        tokens = self.tokens
        return RequestUsage(
            request_key=self._request_key,
            run_id=self._run_id,
            tokens=tokens,
            outcome=outcome.value,
            abandoned=tokens - (current.tokens if current else 0),
        )
