"""What is learned of one endpoint."""

from __future__ import annotations

from knapweeddrum.core.capacity.concurrency_limit import MIN_LIMIT, ConcurrencyLimit
from knapweeddrum.core.capacity.endpoint_capacity import EndpointCapacity
from knapweeddrum.core.capacity.prompt_parts import PromptParts
from knapweeddrum.core.capacity.work_time import WorkTime
from tests.core.capacity.simulated_fleet import SimulatedFleet


def test_noise_does_not_change_the_usual_work_time():
    work_time = WorkTime()
    for number in range(20):
        work_time.record(3.25 if number % 6 == 0 else 1.3, number * 0.1)
    work_time.record(3.25, 2.0)
    assert work_time.usual == 1.3
    assert work_time.current(1.0, 2.0) == 3.25
    assert 1.3 < work_time.current(1.0, 3.0) < 1.6


def test_lasting_slowness_is_usual_after_three_seconds_and_expires():
    work_time = WorkTime()
    for number in range(10):
        work_time.record(1.0, number * 0.2)
    for number in range(20):
        work_time.record(4.0, 2.0 + number * 0.2)
    assert work_time.usual == 4.0
    assert work_time.current(1.0, 30.0) < 1.1


def test_one_long_prompt_lowers_neither_speed_nor_limit():
    """A prompt that waited for a long one of another host, among usual ones."""
    capacity = EndpointCapacity()
    for number in range(8):
        now = number * 0.5
        capacity.start(str(number), PromptParts(4_500), 1.0, now)
        delay = 0.9 if number == 5 else 0.116
        capacity.begin_answer(str(number), 64, now + delay)
    assert abs(capacity.speed.tokens_per_second(4.0) - 45_000) < 1_000
    assert capacity.limit.limit(4.0) == float("inf")
    assert capacity.queue.seen_wait(4.0) < 0.05


def test_overdue_prompt_counts_as_a_wait():
    """An endpoint that hangs looks free by the tokens sent there alone."""
    capacity = EndpointCapacity()
    capacity.start("a", PromptParts(450), 1.0, 0.0)
    assert capacity.queue.own_seconds(0.5) > 0.4
    capacity.forget("a", 0.5)
    assert capacity.queue.own_seconds(0.5) == 0.0


def test_limit_falls_by_late_answers_and_grows_again():
    limit = ConcurrencyLimit()
    limit.record(20.0, 0.4, 64, 0.0)
    assert limit.limit(0.0) == float("inf")
    limit.record(20.0, 0.4, 64, 0.1)
    assert limit.limit(0.1) == 16.0
    for number in range(2, 40):
        limit.record(5.0, 0.4, 64, number * 0.6)
    assert MIN_LIMIT <= limit.limit(24.0) < 6.0
    limit.record(3.0, 0.0, 64, 24.0)
    assert limit.limit(44.0) > 40.0


def in_target_where_engines_slow_early(policy: str, seed: int) -> float:
    """A third of the engines slow down from two requests on and don't report it."""
    fleet = SimulatedFleet(policy, seed=seed)
    for engine in fleet.engines[:15]:
        engine.knee = 2.0
    fleet.play(8.0)
    fleet.results.clear()
    fleet.play(6.0, 2.1)
    fleet.play(4.0, 1.0)
    return fleet.in_target()


def test_endpoints_that_slow_long_before_they_are_full():
    seeds = range(6)
    before = sum(in_target_where_engines_slow_early("rendezvous", n) for n in seeds)
    after = sum(in_target_where_engines_slow_early("start", n) for n in seeds)
    assert after > before + 0.03
