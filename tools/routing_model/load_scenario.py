"""Time to first token and between tokens at several loads."""

from __future__ import annotations

from collections.abc import Iterator

from knapweeddrum.value.priority import Priority
from tools.routing_model.fake_engine import FakeEngine
from tools.routing_model.figures import fraction, percentile, rounded
from tools.routing_model.routing_run import MEASURED_SECONDS, RoutingRun
from tools.routing_model.routing_strategy import RoutingStrategy
from tools.routing_model.row import Row
from tools.routing_model.simulated_request import SimulatedRequest

SCENARIOS = (
    ("load-50%", 0.5, 1.0),
    ("load-90%", 0.9, 1.0),
    ("load-120%", 1.2, 1.0),
    ("load-180%", 1.8, 1.0),
    ("slow-engine-90%", 0.9, 3.0),
)
"""Name, load relative to capacity, factor by which one engine is slower."""

SEEDS = (1, 2, 3)
SATURATING_RATE = 200.0
FIRST_TOKEN_TARGET_SECONDS = 1.1
"""Greatest time to first token that counts as in time."""


def load_rows() -> Iterator[Row]:
    """Yield a row for each load, strategy and seed.

    The capacity is the throughput of round robin at ``SATURATING_RATE``.
    """
    capacity = measured_capacity()
    yield Row("capacity", "round_robin", 0, {"requests_per_second": rounded(capacity)})
    for name, load, slowness in SCENARIOS:
        for strategy in RoutingStrategy:
            for seed in SEEDS:
                run = RoutingRun(strategy, load * capacity, seed, slowness)
                run.run()
                figures = _figures(run.requests, run.engines)
                yield Row(name, strategy.value, seed, figures)


def measured_capacity() -> float:
    """Return the throughput of the saturated engines, in requests per second."""
    run = RoutingRun(RoutingStrategy.ROUND_ROBIN, SATURATING_RATE, 0)
    run.run()
    served = sum(request.first_token_at is not None for request in run.requests)
    return served / MEASURED_SECONDS


def _figures(
    requests: list[SimulatedRequest], engines: list[FakeEngine]
) -> dict[str, float | None]:
    figures: dict[str, float | None] = {}
    for priority in Priority:
        figures |= _priority_figures(priority, requests)
    gaps = [gap for request in requests for gap in request.token_gaps]
    figures["inter_token_p50"] = rounded(percentile(gaps, 0.5), 4)
    figures["inter_token_p95"] = rounded(percentile(gaps, 0.95), 4)
    wasted = sum(engine.wasted for engine in engines)
    figures["wasted"] = fraction(wasted, sum(engine.work for engine in engines))
    return figures


def _priority_figures(
    priority: Priority, requests: list[SimulatedRequest]
) -> dict[str, float | None]:
    chosen = [request for request in requests if request.priority is priority]
    waits = [
        request.first_token_at - request.arrived_at
        for request in chosen
        if request.first_token_at is not None
    ]
    name = priority.name.lower()
    in_time = sum(wait <= FIRST_TOKEN_TARGET_SECONDS for wait in waits)
    return {
        f"{name}_ttft_p50": rounded(percentile(waits, 0.5)),
        f"{name}_ttft_p95": rounded(percentile(waits, 0.95)),
        f"{name}_in_time": fraction(in_time, len(chosen)),
        f"{name}_refused": fraction(
            sum(request.refused for request in chosen), len(chosen)
        ),
        f"{name}_abandoned": fraction(
            sum(request.abandoned for request in chosen), len(chosen)
        ),
    }
