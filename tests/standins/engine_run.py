"""A run of the stand-in for a model engine."""

from __future__ import annotations

import time

import anyio

from knapweeddrum.endpoint.part_message import PartMessage
from knapweeddrum.endpoint.usage_reply import UsageReply
from tests.standins.answer_text import token_text
from tests.standins.prompt import Prompt
from tests.standins.run_ledger_entry import RunLedgerEntry


class EngineRun:
    """Generates the parts of one answer and updates the run's entry in the ledger."""

    def __init__(
        self, entry: RunLedgerEntry, prompt: Prompt, output_limit: int
    ) -> None:
        self.entry = entry
        self.prompt = prompt
        self.parts: list[PartMessage] = []
        self.scope = anyio.CancelScope()
        self.changed = anyio.Event()
        self._requested_tokens = prompt.output_tokens
        self._output_limit = output_limit

    @property
    def ended(self) -> bool:
        """Return whether no further part will be generated."""
        entry = self.entry
        return entry.finished or entry.cancelled or entry.crashed

    def record_start(self) -> None:
        """Record the time at which generation starts."""
        self.entry.started_at = time.time()

    def add_token(self) -> None:
        """Generate a part with one token; the last part is final.

        Does nothing for an ended run, since a cancelled task may still run once.
        """
        if self.ended:
            return
        index = self.entry.output_tokens
        self.entry.output_tokens += 1
        reason = self._finish_reason()
        self.entry.finished = reason != ""
        self._add_part(token_text(self.entry.run_id, index), reason)

    def cancel(self) -> None:
        """Stop generating and end the stream with an empty final part."""
        if self.ended:
            return
        self.entry.cancelled = True
        self.scope.cancel()
        self._add_part("", "cancelled")

    def crash(self) -> None:
        """Stop generating without a final part."""
        if self.ended:
            return
        self.entry.crashed = True
        self.scope.cancel()
        self._wake()

    def usage(self) -> UsageReply:
        """Return the tokens that the run has consumed so far."""
        entry = self.entry
        return UsageReply(
            run_id=entry.run_id,
            prompt_tokens=entry.prompt_tokens if entry.started_at else 0,
            output_tokens=entry.output_tokens,
            running=not self.ended,
        )

    def _finish_reason(self) -> str:
        if self.entry.output_tokens >= min(self._requested_tokens, self._output_limit):
            return "stop" if self._requested_tokens <= self._output_limit else "length"
        return ""

    def _add_part(self, text: str, reason: str) -> None:
        usage = self.usage()
        part = PartMessage(
            run_id=self.entry.run_id,
            index=len(self.parts),
            text=text,
            final=reason != "",
            prompt_tokens=usage.prompt_tokens,
            output_tokens=usage.output_tokens,
            finish_reason=reason,
        )
        self.parts.append(part)
        self._wake()

    def _wake(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()
