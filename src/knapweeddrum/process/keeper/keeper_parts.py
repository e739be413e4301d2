"""The components of a keeper."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from knapweeddrum.process.keeper.budget_manager import BudgetManager
from knapweeddrum.process.keeper.config_manager import ConfigManager
from knapweeddrum.process.keeper.grant_manager import GrantManager
from knapweeddrum.process.keeper.locate_manager import LocateManager
from knapweeddrum.process.keeper.membership_task import MembershipTask
from knapweeddrum.process.keeper.peer_channels import PeerChannels
from knapweeddrum.process.keeper.request_claim_manager import RequestClaimManager
from knapweeddrum.process.keeper.settlement_manager import SettlementManager
from knapweeddrum.process.keeper.stream_follower import StreamFollower
from knapweeddrum.process.keeper.witness_task import WitnessTask


@dataclasses.dataclass(frozen=True, slots=True)
class KeeperParts:
    """The components of a keeper that answer calls."""

    grants: GrantManager
    settlements: SettlementManager
    claims: RequestClaimManager
    config: ConfigManager
    budgets: BudgetManager
    witness: WitnessTask
    locate: LocateManager
    membership: MembershipTask
    peers: PeerChannels
    followers: Mapping[str, StreamFollower]
