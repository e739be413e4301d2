"""Plays a site of real entry processes under callers, endpoints and a store."""

from __future__ import annotations

import dataclasses
import itertools
import pathlib
import random
import signal
import time
from collections.abc import Callable

import anyio
import anyio.abc

from tests.process.entry.site.loss_judge import LossJudge, Verdict
from tests.process.entry.site.site_caller import SiteCaller
from tests.process.entry.site.site_endpoints import SiteEndpoints
from tests.process.entry.site.site_history import Outcome, SiteHistory, Span
from tests.process.entry.site.site_host import HostPlace, SiteHost, free_network
from tests.process.entry.site.site_plan import (
    Configurations,
    EndpointReplacements,
    Hangups,
    HostFreeze,
    HostKill,
    RollingStops,
    SitePlan,
    Step,
    StoreDisturbance,
    StoreTrouble,
)
from tests.process.entry.site.site_shape import SiteShape, configuration
from tests.standins.platform_store import PlatformStore

ROOT = pathlib.Path(__file__).parent.parent.parent.parent.parent
WARM_UP_SECONDS = 4.0
READY_TIMEOUT_SECONDS = 30.0
POLL_SECONDS = 0.05
WAIT_FOR_WORK_SECONDS = 1.0
PREPAID_TOKENS = 3_000_000
SLOW_REPLY_SECONDS = 0.24
LOST_REPLIES = 40


@dataclasses.dataclass(slots=True)
class PlayReport:
    """What a play has shown."""

    plan: SitePlan
    history: SiteHistory
    verdict: Verdict
    log_folder: pathlib.Path
    longest_pause: float
    """Longest time in seconds for which the player itself did not run."""

    @property
    def statuses(self) -> dict[int, int]:
        """Return how many whole answers had each status."""
        counts: dict[int, int] = {}
        for req in self.history.requests:
            if req.outcome is Outcome.ANSWERED and req.status is not None:
                counts[req.status] = counts.get(req.status, 0) + 1
        return dict(sorted(counts.items()))


class SitePlay:
    """Runs one plan; hosts stand at loopback addresses of their own."""

    def __init__(
        self,
        shape: SiteShape,
        plan: SitePlan,
        folder: pathlib.Path,
        sources: pathlib.Path = ROOT,
    ) -> None:
        self._shape = shape
        self._plan = plan
        self._folder = folder
        self._sources = sources
        self._rng = random.Random(plan.seed)
        self._history = SiteHistory()
        self._store = PlatformStore()
        self._hosts: list[SiteHost] = []
        self._callers: dict[str, list[SiteCaller]] = {}
        self._endpoints = SiteEndpoints(shape, self._store, self._history, plan.seed)
        self._attempts = itertools.count()
        self._version = 0
        self._longest_pause = 0.0

    async def play(self) -> PlayReport:
        """Play the plan; return what callers and endpoints have seen."""
        self._configure()
        async with (
            self._store.serve() as store_address,
            anyio.create_task_group() as tasks,
        ):
            await self._endpoints.start(tasks)
            tasks.start_soon(self._watch_own_pauses)
            self._place_hosts(store_address)
            for host in self._hosts:
                tasks.start_soon(host.keep_running)
                if self._plan.throttled:
                    tasks.start_soon(host.throttle)
            await self._wait_until_ready()
            self._make_callers()
            await self._run_plan()
            tasks.cancel_scope.cancel()
        verdict = LossJudge(self._shape, self._history).judge()
        return PlayReport(
            self._plan, self._history, verdict, self._folder, self._longest_pause
        )

    async def _run_plan(self) -> None:
        """Send requests all along, also after the last step; wait for their ends."""
        async with anyio.create_task_group() as requests:
            with anyio.CancelScope() as sending:
                async with anyio.create_task_group() as arrivals:
                    for centre in self._shape.data_centres:
                        arrivals.start_soon(self._send_requests, centre.name, requests)
                    await anyio.sleep(WARM_UP_SECONDS)
                    async with anyio.create_task_group() as steps:
                        for step in self._plan.steps:
                            steps.start_soon(self._perform, step)
                        await anyio.sleep(self._plan.length)
                    sending.cancel()
        for callers in self._callers.values():
            for caller in callers:
                await caller.close()

    async def _send_requests(
        self, data_centre: str, requests: anyio.abc.TaskGroup
    ) -> None:
        callers = self._callers[data_centre]
        all_callers = sum(centre.callers for centre in self._shape.data_centres)
        rate = self._shape.requests_per_second * self._plan.load
        rate *= len(callers) / all_callers
        kinds = self._shape.kinds
        weights = [kind.share for kind in kinds]
        rng = random.Random(f"{self._plan.seed} {data_centre}")
        while True:
            await anyio.sleep(rng.expovariate(rate))
            kind = rng.choices(kinds, weights)[0]
            requests.start_soon(rng.choice(callers).request, kind)

    # What is done to the site.

    async def _perform(self, step: Step) -> None:
        await anyio.sleep(step.at)
        match step:
            case RollingStops():
                await self._roll(step)
            case Hangups():
                await self._repeat(step.count, step.gap, self._hang_up)
            case Configurations():
                await self._repeat(
                    step.count, step.gap, lambda: self._reconfigure(step.extra_routes)
                )
            case StoreDisturbance():
                await self._disturb_store(step)
            case EndpointReplacements():
                await self._endpoints.replace(step.count, step.gap)
            case HostKill():
                self._rng.choice(self._hosts).kill()
            case HostFreeze():
                await self._rng.choice(self._hosts).freeze(step.lasts)

    async def _roll(self, step: RollingStops) -> None:
        chosen = self._rng.sample(self._hosts, min(step.count, len(self._hosts)))
        async with anyio.create_task_group() as stops:
            for host in chosen:
                if step.waits_for_work:
                    await self._wait_for_work(host)
                stops.start_soon(host.stop)
                for after in step.again_after:
                    stops.start_soon(self._stop_again, host, after)
                await anyio.sleep(step.gap)

    async def _stop_again(self, host: SiteHost, after: float) -> None:
        await anyio.sleep(after)
        if host.is_draining:
            host.send(signal.SIGTERM)

    async def _wait_for_work(self, host: SiteHost) -> None:
        with anyio.move_on_after(WAIT_FOR_WORK_SECONDS):
            while not any(
                req.outcome is Outcome.OPEN and req.host == host.place.name
                for req in self._history.requests[-200:]
            ):
                await anyio.sleep(POLL_SECONDS)

    async def _repeat(self, count: int, gap: float, act: Callable[[], None]) -> None:
        for _ in range(count):
            act()
            await anyio.sleep(gap)

    def _hang_up(self) -> None:
        self._rng.choice(self._hosts).send(signal.SIGHUP)

    def _reconfigure(self, extra_routes: int = 0) -> None:
        self._history.configurations.append(time.monotonic())
        self._configure(extra_routes)

    def _configure(self, extra_routes: int = 0) -> None:
        self._version += self._rng.randint(1, 3)
        document = configuration(
            self._shape,
            self._version,
            prepaid=PREPAID_TOKENS,
            extra_routes=extra_routes,
        )
        self._store.put("keyed.op", "config", document)

    async def _disturb_store(self, step: StoreDisturbance) -> None:
        span = Span(time.monotonic())
        self._history.store_troubles.append(span)
        set_trouble(self._store, step.trouble, on=True)
        await anyio.sleep(step.lasts)
        set_trouble(self._store, step.trouble, on=False)
        span.ended_at = time.monotonic() + self._shape.stable_window

    # Hosts and callers.

    def _place_hosts(self, store_address: str) -> None:
        network = free_network(self._shape.host_count)
        numbers = itertools.count(1)
        for centre in self._shape.data_centres:
            for number in range(centre.hosts):
                place = HostPlace(
                    f"front-{centre.name}-{number + 1}",
                    centre.name,
                    f"{network}.{next(numbers)}",
                )
                host = SiteHost(
                    place,
                    self._shape,
                    store_address,
                    self._sources,
                    self._folder,
                    self._history,
                    random.Random(f"{self._plan.seed} {place.name}"),
                )
                self._hosts.append(host)

    def _make_callers(self) -> None:
        places = [host.place for host in self._hosts]
        for centre in self._shape.data_centres:
            near = [p for p in places if p.data_centre == centre.name]
            far = [p for p in places if p.data_centre != centre.name]
            self._callers[centre.name] = [
                SiteCaller(
                    centre.name,
                    [*near, *far][:3],
                    places,
                    self._shape,
                    self._plan.habits,
                    self._history,
                    self._attempts,
                    random.Random(f"{self._plan.seed} {centre.name} {number}"),
                )
                for number in range(centre.callers)
            ]

    async def _wait_until_ready(self) -> None:
        with anyio.fail_after(READY_TIMEOUT_SECONDS):
            for host in self._hosts:
                while not await host.is_ready():
                    await anyio.sleep(POLL_SECONDS)

    async def _watch_own_pauses(self) -> None:
        """Measure how far the player is behind, which blurs its times."""
        while True:
            before = time.monotonic()
            await anyio.sleep(POLL_SECONDS)
            pause = time.monotonic() - before - POLL_SECONDS
            self._longest_pause = max(self._longest_pause, pause)


def set_trouble(store: PlatformStore, trouble: StoreTrouble, *, on: bool) -> None:
    """Begin or end a disturbance of the store."""
    match trouble:
        case StoreTrouble.SILENT:
            store.unresponsive = on
        case StoreTrouble.REFUSES:
            store.busy = on
        case StoreTrouble.REFUSES_WRITES:
            store.refuses_writes = on
        case StoreTrouble.LOSES_REPLIES:
            store.lose_replies = LOST_REPLIES if on else 0
        case StoreTrouble.SLOW:
            store.reply_delay = SLOW_REPLY_SECONDS if on else 0.0
