"""The normalised transcript of one session."""

from __future__ import annotations

import json
import re

from tests.fleet.fleet_answer import FleetAnswer, chunk_text
from tests.fleet.fleet_bench import RUN_LEDGER, FleetBench, consumed_tokens
from tests.standins.answer_text import token_text
from tests.standins.run_ledger_entry import RunLedgerEntry

RECORDED_HEADERS = ("content-type", "cache-control", "retry-after", "x-request-id")
CREATED = re.compile(r'"created":\d+')
GENERATED_ID = re.compile(r"\b[0-9a-f]{24}\b")


class Transcript:
    """Collects the steps and results of a session.

    Placeholders replace what differs between runs of the test: ports, times, generated
    request identifiers ("minted") and texts of the engine.
    """

    def __init__(self, bench: FleetBench, budget: str) -> None:
        self._bench = bench
        self._budget = budget
        self._earlier_run_ids = {run.run_id for run in bench.runs()}
        self._lines: list[str] = []

    def step(self, text: str) -> None:
        """Add a line with the next step of the session."""
        self._lines += ["", f"> {text}"]

    def result(self, text: str) -> None:
        """Add a line with a result."""
        self._lines.append(f"< {text}")

    def answer(self, answer: FleetAnswer) -> None:
        """Add the status, headers and body of an answer."""
        self.result(f"status {answer.status}")
        for name in RECORDED_HEADERS:
            if name in answer.headers:
                self.result(f"{name}: {self._normalised(answer.headers[name])}")
        for event in answer.events:
            self.result(self._event(event))
        if answer.cut:
            self.result("connection cut")

    def records(self, *booking_keys: str, counts: bool = True) -> None:
        """Add the runs, bookings and budget, from engines, service and keeper.

        Without ``counts`` numbers that depend on timing are left out.
        """
        self.step("records")
        runs = self.runs()
        for number, run in enumerate(runs, start=1):
            self.result(f"engine: {self._run(run, number, counts)}")
        for key in booking_keys:
            self.result(f"service: booking {key} ran {self._bench.bookings(key)} times")
        status = self._bench.operators[0].status(self._budget)
        billed = "what the engines ran"
        if status.billed != consumed_tokens(runs):
            billed = f"{status.billed} of {consumed_tokens(runs)}"
        rest = status.balance + status.held
        self.result(
            f"budget: deposited {status.deposited}, bills {status.bills}, "
            f"billed {billed}, duplicate {status.duplicate}"
        )
        self.result(
            f"budget: balance and grants {rest}"
            if counts
            else f"budget: adds up {status.deposited == rest + status.billed}"
        )

    def runs(self) -> RUN_LEDGER:
        """Return the runs of this session."""
        return [
            run for run in self._bench.runs() if run.run_id not in self._earlier_run_ids
        ]

    def text(self) -> str:
        """Return the transcript."""
        return "\n".join(self._lines).lstrip() + "\n"

    @staticmethod
    def _run(run: RunLedgerEntry, number: int, counts: bool) -> str:
        end = "finished" if run.finished else "cancelled" if run.cancelled else "open"
        output = run.output_tokens if counts else "some"
        return (
            f"run-{number} of {run.model}, {run.prompt_tokens} prompt and "
            f"{output} output tokens, {end}, {run.posts} posts"
        )

    def _event(self, event: str) -> str:
        text = chunk_text(event)
        if text:
            event = event.replace(
                json.dumps(text), json.dumps(self._token_placeholder(text))
            )
        return self._normalised(event)

    def _token_placeholder(self, text: str) -> str:
        """Return a placeholder for the text of a generated token."""
        for number, run in enumerate(self.runs(), start=1):
            for index in range(run.output_tokens):
                if token_text(run.run_id, index) == text:
                    return f"token {index} of run-{number}"
        return text

    def _normalised(self, text: str) -> str:
        for index, router in enumerate(self._bench.routers):
            port = router.rpartition(":")[2]
            text = text.replace(f'"port":{port}', f'"port":"router-{index}"')
        text = CREATED.sub('"created":"time"', text)
        return GENERATED_ID.sub("minted", text)
