from __future__ import annotations

import io
import json
import unittest

from tools.slopes.batch_cost_slope import BatchCostSlope
from tools.slopes.catalogue import all_slopes
from tools.slopes.claim_window_slope import ClaimWindowSlope
from tools.slopes.fact_maker import (
    ActiveBudgetMaker,
    BillMaker,
    ClaimMaker,
    ConfigMaker,
    DepositMaker,
    GrantMaker,
)
from tools.slopes.figure import Figure
from tools.slopes.fit import fit_all
from tools.slopes.gossip_slope import GossipSlope
from tools.slopes.grant_traffic_slope import GrantKeepersSlope, GrantRateSlope
from tools.slopes.host_view_slope import HostViewSlope
from tools.slopes.ledger_memory_slope import LedgerMemorySlope
from tools.slopes.reading import Reading
from tools.slopes.replay_cost_slope import ReplayCostSlope
from tools.slopes.rpc_cost_slope import RpcCostSlope
from tools.slopes.runner import Runner
from tools.slopes.slope import Slope

SMALL_COUNT = 4
SHORT_RUN_SECONDS = 0.02

check = unittest.TestCase()


def _quick_slopes() -> tuple[Slope, ...]:
    """Return the slopes that run within one process, with small workloads."""
    makers = (GrantMaker(), BillMaker(), ClaimMaker(), ConfigMaker())
    return (
        *(ReplayCostSlope(maker) for maker in makers),
        BatchCostSlope(bills=SMALL_COUNT),
        LedgerMemorySlope("idle-budget", DepositMaker()),
        LedgerMemorySlope("active-budget", ActiveBudgetMaker(), facts_per_entry=2),
        LedgerMemorySlope("claim", ClaimMaker(), facts_per_entry=2),
        GossipSlope(),
        HostViewSlope(calls=SMALL_COUNT),
        RpcCostSlope(calls=SMALL_COUNT),
        ClaimWindowSlope(SHORT_RUN_SECONDS),
        GrantRateSlope(SHORT_RUN_SECONDS, SHORT_RUN_SECONDS),
        GrantKeepersSlope(SHORT_RUN_SECONDS, SHORT_RUN_SECONDS),
    )


def test_each_slope_within_one_process_gives_readings_and_fits() -> None:
    """Each output line is JSON, and each figure of a slope gets one linear fit."""
    for slope in _quick_slopes():
        output = io.StringIO()
        Runner(output).run(slope, slope.tiny_sizes, repeats=1)
        lines = [json.loads(line) for line in output.getvalue().splitlines()]
        readings = [line["reading"] for line in lines if "reading" in line]
        fits = [line["fit"] for line in lines if "fit" in line]
        check.assertEqual([r["size"] for r in readings], list(slope.tiny_sizes))
        names = [figure["name"] for figure in readings[0]["figures"]]
        check.assertEqual([fit["figure"] for fit in fits], names)


def test_catalogue_has_three_sizes_for_each_slope() -> None:
    """A fit through fewer sizes can't show that a cost isn't linear."""
    slopes = all_slopes()
    check.assertEqual(len({slope.name for slope in slopes}), len(slopes))
    for slope in slopes:
        check.assertGreaterEqual(len(slope.sizes), 3)


def test_fit_has_line_and_spread() -> None:
    """The fit has intercept, slope and residual; the spread has least and greatest."""
    readings = [
        Reading(size, (Figure("cpu", "us", 2.0 + 3.0 * size + off),))
        for size in (1, 2, 3)
        for off in (-0.5, 0.5)
    ]
    (fit,) = fit_all("any", "records", readings)
    check.assertAlmostEqual(fit.fixed, 2.0)
    check.assertAlmostEqual(fit.per_unit, 3.0)
    check.assertAlmostEqual(fit.residual, 0.5)
    check.assertEqual(fit.spreads[0].least, 4.5)
    check.assertEqual(fit.spreads[0].greatest, 5.5)
