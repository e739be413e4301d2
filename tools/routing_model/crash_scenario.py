"""A request that crashes endpoints, sent repeatedly through several routers."""

from __future__ import annotations

import random
from collections.abc import Iterator

from knapweeddrum.core.admission.crash_register import CrashRegister
from knapweeddrum.core.admission.placement import Placement
from knapweeddrum.core.admission.run_end import RunEnd
from knapweeddrum.value.identifiers import EndpointName
from knapweeddrum.value.refusal import Refusal
from knapweeddrum.value.refusal_reason import RefusalReason
from tools.routing_model.event_loop import EventLoop
from tools.routing_model.figures import percentile, rounded
from tools.routing_model.row import Row

SEEDS = tuple(range(1, 11))
ROUTERS = 7
ENGINES = 9
INNOCENT_REQUESTS_PER_SECOND = 20.0
"""Arrival rate of innocent requests, which crash no endpoint, per second."""
MEAN_RUN_SECONDS = 4.0
POISON_CRASH_DELAY_SECONDS = 0.5
ENGINE_RESTART_SECONDS = 20.0
POISON_RESEND_INTERVAL_SECONDS = 3.0
REGISTER_SHARE_INTERVAL_SECONDS = 1.0
INNOCENT_ATTEMPTS = 4
DURATION_SECONDS = 180.0
POISON = "poison"


class _InactiveRegister(CrashRegister):
    """Records suspects but refuses and restricts no request."""

    def decide(self, fingerprint: str, now: float) -> Placement | Refusal:
        return Placement()


class _CrashCountRegister(CrashRegister):
    """Refuses a request after two crashes, even if another one may have caused them."""

    def decide(self, fingerprint: str, now: float) -> Placement | Refusal:
        if self.crash_count(fingerprint, now) >= 2:
            return Refusal(RefusalReason.POISONOUS)
        return super().decide(fingerprint, now)


class _Fleet:
    """Routers with crash registers, and engines that one request crashes."""

    def __init__(
        self,
        seed: int,
        register: type[CrashRegister],
        shares: bool,
        crash_chance: float,
    ) -> None:
        self.crashes = 0
        self.innocents = 0
        self.innocents_refused = 0
        self.innocents_lost = 0
        self.suspect_seconds: list[float] = []
        self._loop = EventLoop()
        self._rng = random.Random(seed)
        self._crash_chance = crash_chance
        self._registers = [register() for _ in range(ROUTERS)]
        self._versions = [0] * ROUTERS
        self._keeper = register()
        self._keeper_versions = [0] * ROUTERS
        self._restarted_at = {
            EndpointName(f"desk-{number}"): 0.0 for number in range(ENGINES)
        }
        self._runs: dict[str, tuple[int, str, EndpointName, int]] = {}
        self._number = 0
        self._suspect_since: dict[str, float] = {}
        if shares:
            self._loop.call_every(
                REGISTER_SHARE_INTERVAL_SECONDS, self._share_registers
            )

    def run(self) -> None:
        """Run the simulation to its end."""
        self._loop.call_later(0.0, self._arrive)
        self._loop.call_later(10.0, self._send_poison)
        self._loop.run_until(DURATION_SECONDS)

    def _arrive(self) -> None:
        self._loop.call_later(
            self._rng.expovariate(INNOCENT_REQUESTS_PER_SECOND), self._arrive
        )
        self.innocents += 1
        self._send(f"innocent-{self.innocents}", 1)

    def _send_poison(self) -> None:
        self._loop.call_later(POISON_RESEND_INTERVAL_SECONDS, self._send_poison)
        self._send(POISON, 1)

    def _send(self, fingerprint: str, attempt: int) -> None:
        now = self._loop.now
        router = self._rng.randrange(ROUTERS)
        verdict = self._registers[router].decide(fingerprint, now)
        if not isinstance(verdict, Placement):
            if verdict.retry_after is None:
                self.innocents_refused += fingerprint != POISON
            else:
                self._resend(fingerprint, attempt)
            return
        up = [name for name, at in self._restarted_at.items() if at <= now]
        usable = [name for name in up if name not in verdict.exclude]
        if not usable:
            self._resend(fingerprint, attempt)
            return
        self._start(router, fingerprint, self._rng.choice(usable), attempt)

    def _start(
        self, router: int, fingerprint: str, endpoint: EndpointName, attempt: int
    ) -> None:
        self._number += 1
        run_id = f"run-{self._number}"
        self._runs[run_id] = (router, fingerprint, endpoint, attempt)
        self._registers[router].begin(run_id, fingerprint, endpoint)
        if fingerprint == POISON and self._rng.random() < self._crash_chance:
            self._loop.call_later(
                POISON_CRASH_DELAY_SECONDS, lambda: self._crash(endpoint)
            )
        seconds = MEAN_RUN_SECONDS * self._rng.uniform(0.5, 1.5)
        self._loop.call_later(seconds, lambda: self._complete(run_id))

    def _complete(self, run_id: str) -> None:
        run = self._runs.pop(run_id, None)
        if run is None:
            return
        router, fingerprint, _, _ = run
        now = self._loop.now
        self._registers[router].end(run_id, RunEnd.COMPLETED, now)
        since = self._suspect_since.pop(fingerprint, None)
        if since is not None:
            self.suspect_seconds.append(now - since)

    def _crash(self, endpoint: EndpointName) -> None:
        now = self._loop.now
        if self._restarted_at[endpoint] > now:
            return
        self.crashes += 1
        self._restarted_at[endpoint] = now + ENGINE_RESTART_SECONDS
        cut = [run_id for run_id, run in self._runs.items() if run[2] == endpoint]
        for run_id in cut:
            router, fingerprint, _, attempt = self._runs.pop(run_id)
            self._registers[router].end(run_id, RunEnd.CUT, now)
            if fingerprint != POISON:
                self._suspect_since.setdefault(fingerprint, now)
                self._resend(fingerprint, attempt)
        for register in self._registers:
            register.record_crash(endpoint, now)

    def _resend(self, fingerprint: str, attempt: int) -> None:
        if fingerprint == POISON:
            return
        if attempt >= INNOCENT_ATTEMPTS:
            self.innocents_lost += 1
            return
        delay = self._rng.uniform(0.2, 1.0)
        self._loop.call_later(delay, lambda: self._send(fingerprint, attempt + 1))

    def _share_registers(self) -> None:
        for number, register in enumerate(self._registers):
            router_changes = register.changes(self._versions[number])
            self._keeper.merge(router_changes.records)
            self._versions[number] = router_changes.version
            keeper_changes = self._keeper.changes(self._keeper_versions[number])
            register.merge(keeper_changes.records)
            self._keeper_versions[number] = keeper_changes.version


def crash_rows() -> Iterator[Row]:
    """Yield a row for each crash probability, strategy and seed."""
    strategies = {
        "without_register": (_InactiveRegister, False),
        "register_not_shared": (CrashRegister, False),
        "two_crashes_refused": (_CrashCountRegister, True),
        "register_shared": (CrashRegister, True),
    }
    for scenario, crash_chance in (("poison", 1.0), ("poison_half", 0.5)):
        for strategy, (register, shares) in strategies.items():
            for seed in SEEDS:
                fleet = _Fleet(seed, register, shares, crash_chance)
                fleet.run()
                yield Row(scenario, strategy, seed, _figures(fleet))


def _figures(fleet: _Fleet) -> dict[str, float | None]:
    return {
        "endpoints_crashed": float(fleet.crashes),
        "innocents": float(fleet.innocents),
        "innocents_refused": float(fleet.innocents_refused),
        "innocents_lost": float(fleet.innocents_lost),
        "innocents_marked": float(len(fleet.suspect_seconds)),
        "cleared_after_p50": rounded(percentile(fleet.suspect_seconds, 0.5)),
        "cleared_after_p95": rounded(percentile(fleet.suspect_seconds, 0.95)),
    }
