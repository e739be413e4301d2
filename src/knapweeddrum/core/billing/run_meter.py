"""Metering of one request over all its runs."""

from __future__ import annotations

from knapweeddrum.core.billing.part_verdict import PartVerdict
from knapweeddrum.core.billing.run_outcome import RunOutcome
from knapweeddrum.core.billing.run_tally import RunTally
from knapweeddrum.core.budget.request_usage import RequestUsage


class RunMeter:
    """Accepts the parts of a request's current run and sums the tokens of all its runs.

    A run is one execution of the request at an engine. When a new run replaces the
    current one, the parts of the old run become FOREIGN, but its tokens still count.
    """

    def __init__(self, request_key: str) -> None:
        self._request_key = request_key
        self._tallies: dict[str, RunTally] = {}
        self._run_id = ""

    @property
    def run_id(self) -> str:
        """Return the identifier of the current run; empty before the first."""
        return self._run_id

    @property
    def next_index(self) -> int:
        """Return the index of the next part to send to the caller."""
        tally = self._tallies.get(self._run_id)
        return tally.next_index if tally else 0

    @property
    def is_complete(self) -> bool:
        """Return whether every part up to the final one was accepted."""
        tally = self._tallies.get(self._run_id)
        return tally is not None and tally.is_complete

    @property
    def tokens(self) -> int:
        """Return the tokens that all runs are known to have consumed."""
        return sum(tally.tokens for tally in self._tallies.values())

    def start_run(self, run_id: str, first_index: int = 0) -> None:
        """Make ``run_id`` the current run, expected to start at part ``first_index``.

        A run that is already known continues at its own next index.
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
        """Record a part and return the verdict; only ACCEPTED parts go to the caller.

        Token counts are cumulative. Every part of a known run may raise the count of
        its run, also when it is late or repeated; parts of unknown runs belong to
        another request.
        """
        tally = self._tallies.get(run_id)
        if tally is None:
            return PartVerdict.FOREIGN
        tally.record_usage(prompt_tokens + output_tokens, final)
        if run_id != self._run_id:
            return PartVerdict.FOREIGN
        return tally.accept(index, final)

    def record_usage(self, run_id: str, tokens: int, running: bool) -> None:
        """Record the token count that the engine reports; final unless ``running``."""
        tally = self._tallies.get(run_id)
        if tally is None:
            return
        tally.record_usage(tokens, final=not running)

    def unsettled_runs(self) -> tuple[str, ...]:
        """Return the runs whose final token count is not known yet."""
        return tuple(
            run_id
            for run_id, tally in self._tallies.items()
            if not tally.is_usage_final
        )

    def figures(self, outcome: RunOutcome) -> RequestUsage:
        """Return the figures for the settlement of the request.

        The token count is exact when ``unsettled_runs`` is empty, else a lower bound.
        An incomplete answer is reported as CUT instead of FINISHED.
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
