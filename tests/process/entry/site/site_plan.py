"""What is done to a site in a play, drawn from a seed."""

from __future__ import annotations

import dataclasses
import enum
import random

from tests.process.entry.site.site_caller import CallerHabits

LARGEST_LOAD = 3.0
"""Requests as a multiple of the site's own, while callers keep old directories."""


class StoreTrouble(enum.Enum):
    """How the store misbehaves for a while."""

    SILENT = "silent"
    REFUSES = "refuses"
    REFUSES_WRITES = "refuses writes"
    LOSES_REPLIES = "loses replies"
    SLOW = "slow"


@dataclasses.dataclass(frozen=True, slots=True)
class RollingStops:
    """Hosts are stopped in turn, and start again; times in seconds."""

    at: float
    count: int
    gap: float
    waits_for_work: bool
    """Whether each host is stopped while it answers a request."""
    again_after: tuple[float, ...] = ()
    """Times after each SIGTERM at which another is sent."""


@dataclasses.dataclass(frozen=True, slots=True)
class Hangups:
    """SIGHUPs to hosts in turn."""

    at: float
    count: int
    gap: float


@dataclasses.dataclass(frozen=True, slots=True)
class Configurations:
    """New versions of the configuration, some with many routes more."""

    at: float
    count: int
    gap: float
    extra_routes: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StoreDisturbance:
    """The store misbehaves for some seconds."""

    at: float
    lasts: float
    trouble: StoreTrouble


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointReplacements:
    """Endpoints are replaced one after the other."""

    at: float
    count: int
    gap: float


@dataclasses.dataclass(frozen=True, slots=True)
class HostKill:
    """A host is killed, unplanned."""

    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class HostFreeze:
    """A host stands still, unplanned."""

    at: float
    lasts: float


Step = (
    RollingStops
    | Hangups
    | Configurations
    | StoreDisturbance
    | EndpointReplacements
    | HostKill
    | HostFreeze
)


class Family(enum.Enum):
    """Kinds of plans; seeds take them in turn."""

    STOPS = "stops"
    STOPS_TWICE = "stops, SIGTERM sent again"
    STOPS_AND_STORE = "stops while the store is disturbed"
    CONFIGURATIONS = "configurations and SIGHUPs"
    STORE = "only the store is disturbed"
    EVERYTHING_PLANNED = "all planned work at once"
    FAULTS = "kills and suspensions beside planned work"
    STOPS_UNDER_LOAD = "stops of busy hosts with half a core"


@dataclasses.dataclass(frozen=True, slots=True)
class SitePlan:
    """The steps of a play and how its callers behave."""

    seed: int
    family: Family
    length: float
    steps: tuple[Step, ...]
    habits: CallerHabits
    load: float = 1.0
    """Requests as a multiple of the site's own."""
    throttled: bool = False
    """Whether each host stands still for half of each tenth of a second."""

    @classmethod
    def draw(cls, seed: int, length: float) -> SitePlan:
        """Return the plan of a seed, its steps spread over ``length`` seconds."""
        family = tuple(Family)[seed % len(Family)]
        rng = random.Random(seed)
        steps = tuple(step for draw in DRAWS[family] for step in draw(rng, length))
        habits = CallerHabits(
            slow_bodies=rng.choice((0.0, 0.1, 0.4)),
            leaving=rng.choice((0.05, 0.2)),
            stale=rng.choice((0.3, 0.6)),
        )
        load = rng.choice((1.0, 1.0, 1.8))
        throttled = rng.random() < 0.5
        if family is Family.STOPS_UNDER_LOAD:
            habits = dataclasses.replace(habits, stale=1.0)
            load = LARGEST_LOAD
            throttled = True
        return cls(seed, family, length, steps, habits, load, throttled)


def _rolls(rng: random.Random, length: float) -> list[Step]:
    return [
        RollingStops(
            at=rng.uniform(0.5, 2.0),
            count=rng.randint(4, 7),
            gap=rng.uniform(0.8, 2.0),
            waits_for_work=rng.random() < 0.7,
        ),
        RollingStops(
            at=length * 0.5 + rng.uniform(0.0, 2.0),
            count=rng.randint(3, 7),
            gap=rng.uniform(0.5, 1.5),
            waits_for_work=True,
        ),
    ]


def _rolls_twice(rng: random.Random, length: float) -> list[Step]:
    again = tuple(sorted(rng.uniform(0.05, 4.0) for _ in range(rng.randint(1, 3))))
    return [
        dataclasses.replace(roll, again_after=again) for roll in _rolls(rng, length)
    ]


def _hangups(rng: random.Random, length: float) -> list[Step]:
    return [
        Hangups(rng.uniform(0.0, length), rng.randint(3, 20), rng.uniform(0.1, 0.8))
        for _ in range(2)
    ]


def _configurations(rng: random.Random, length: float) -> list[Step]:
    return [
        Configurations(rng.uniform(0.0, length), 12, rng.uniform(0.06, 0.4)),
        Configurations(rng.uniform(0.0, length), 1, 1.0, extra_routes=350),
    ]


def _store(rng: random.Random, length: float) -> list[Step]:
    return [
        StoreDisturbance(
            at=length * part + rng.uniform(0.0, 2.0),
            lasts=rng.uniform(1.0, 5.0),
            trouble=rng.choice(tuple(StoreTrouble)),
        )
        for part in (0.1, 0.5, 0.75)
    ]


def _replacements(rng: random.Random, length: float) -> list[Step]:
    return [EndpointReplacements(rng.uniform(0.0, length / 2), 4, rng.uniform(0.5, 2))]


def _faults(rng: random.Random, length: float) -> list[Step]:
    return [
        HostKill(rng.uniform(0.0, length)),
        HostFreeze(rng.uniform(0.0, length), rng.uniform(0.4, 4.0)),
    ]


DRAWS = {
    Family.STOPS: (_rolls,),
    Family.STOPS_TWICE: (_rolls_twice, _hangups),
    Family.STOPS_AND_STORE: (_rolls, _store),
    Family.CONFIGURATIONS: (_configurations, _hangups, _replacements),
    Family.STORE: (_store,),
    Family.EVERYTHING_PLANNED: (
        _rolls_twice,
        _hangups,
        _configurations,
        _replacements,
    ),
    Family.FAULTS: (_rolls, _configurations, _faults),
    Family.STOPS_UNDER_LOAD: (_rolls,),
}
