"""The union of all facts."""

from __future__ import annotations

from knapweeddrum.message.fact.bill import Bill
from knapweeddrum.message.fact.checkpoint_part import CheckpointPart
from knapweeddrum.message.fact.config_change import ConfigChange
from knapweeddrum.message.fact.deposit import Deposit
from knapweeddrum.message.fact.grant import Grant
from knapweeddrum.message.fact.grant_release import GrantRelease
from knapweeddrum.message.fact.grant_return import GrantReturn
from knapweeddrum.message.fact.request_claim import RequestClaim
from knapweeddrum.message.fact.request_claim_outcome import RequestClaimOutcome

AnyFact = (
    Bill
    | CheckpointPart
    | RequestClaim
    | RequestClaimOutcome
    | ConfigChange
    | Deposit
    | Grant
    | GrantRelease
    | GrantReturn
)
