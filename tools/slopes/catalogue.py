"""The list of slopes."""

from __future__ import annotations

from tools.slopes.batch_cost_slope import BatchCostSlope
from tools.slopes.catch_up_slope import CatchUpSlope
from tools.slopes.claim_window_slope import ClaimWindowSlope
from tools.slopes.client_slope import ClientSlope
from tools.slopes.config_spread_slope import ConfigSpreadSlope
from tools.slopes.fact_maker import (
    ActiveBudgetMaker,
    BillMaker,
    ClaimMaker,
    ConfigMaker,
    DepositMaker,
    GrantMaker,
)
from tools.slopes.gossip_slope import GossipSlope
from tools.slopes.grant_traffic_slope import GrantKeepersSlope, GrantRateSlope
from tools.slopes.host_view_slope import HostViewSlope
from tools.slopes.idle_slope import IdleSlope
from tools.slopes.ledger_memory_slope import LedgerMemorySlope
from tools.slopes.live_follow_slope import LiveFollowSlope
from tools.slopes.real_fleet import ALL_ROLES
from tools.slopes.replay_cost_slope import ReplayCostSlope
from tools.slopes.router_cost_slope import RouterCostSlope
from tools.slopes.rpc_cost_slope import RpcCostSlope
from tools.slopes.slope import Slope


def all_slopes() -> tuple[Slope, ...]:
    """Return all slopes, those that run within one process first."""
    return (
        ReplayCostSlope(GrantMaker()),
        ReplayCostSlope(BillMaker()),
        ReplayCostSlope(ClaimMaker()),
        ReplayCostSlope(ConfigMaker()),
        BatchCostSlope(),
        LedgerMemorySlope("idle-budget", DepositMaker()),
        LedgerMemorySlope("active-budget", ActiveBudgetMaker(), facts_per_entry=2),
        LedgerMemorySlope("grant", GrantMaker()),
        LedgerMemorySlope("billed-request", BillMaker()),
        LedgerMemorySlope("claim", ClaimMaker(), facts_per_entry=2),
        LedgerMemorySlope("config", ConfigMaker()),
        GossipSlope(),
        HostViewSlope(),
        RpcCostSlope(),
        ClaimWindowSlope(),
        GrantRateSlope(),
        GrantKeepersSlope(),
        IdleSlope("idle-host", ALL_ROLES, (1, 3, 7)),
        IdleSlope("idle-keeper", ("keeper",), (3, 7, 20)),
        LiveFollowSlope(batch=1),
        LiveFollowSlope(batch=16),
        CatchUpSlope(),
        ConfigSpreadSlope(),
        RouterCostSlope(),
        ClientSlope(),
    )
