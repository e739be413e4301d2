"""Generators of realistic facts."""

from __future__ import annotations

import abc
import json

from knapweeddrum.core.budget.budget_ledger import BudgetLedger
from knapweeddrum.core.claim.request_claim_ledger import RequestClaimLedger
from knapweeddrum.core.config.config_ledger import ConfigLedger
from knapweeddrum.core.replay.ledger import Ledger
from knapweeddrum.message.fact.any_fact import AnyFact
from knapweeddrum.message.fact.bill import Bill
from knapweeddrum.message.fact.config_change import ConfigChange
from knapweeddrum.message.fact.deposit import Deposit
from knapweeddrum.message.fact.grant import Grant
from knapweeddrum.message.fact.request_claim import RequestClaim
from knapweeddrum.message.fact.request_claim_outcome import RequestClaimOutcome

DEPOSIT_TOKENS = 10**12
GRANT_TOKENS = 50_000
BILL_TOKENS = 300
ANSWER_BYTES = 200
HOLDER = "host-123/keeper/0198a0b1c2d3-0a1b2c3d"
ROUTER = "host-123/router/0198a0b1c2d3-0a1b2c3d"
WITNESS = "host-207/keeper/0198a0b1c2d3-1a1b2c3d"
BUDGET = "organisation-117/budget-0000042"


def budget_name(number: int) -> str:
    """Return the name of a budget."""
    return f"organisation-{number % 370:03}/budget-{number:07}"


class FactMaker(abc.ABC):
    """Generates numbered facts of one kind and the facts that they require."""

    name: str

    @abc.abstractmethod
    def ledger(self) -> Ledger:
        """Return an empty ledger for these facts."""

    def prerequisites(self) -> tuple[AnyFact, ...]:
        """Return the facts to apply before the generated ones."""
        return ()

    @abc.abstractmethod
    def fact(self, number: int) -> AnyFact:
        """Return the fact with this number."""


class DepositMaker(FactMaker):
    """Deposits, each to a new budget."""

    name = "deposit"

    def ledger(self) -> Ledger:
        """Return an empty ledger for these facts."""
        return BudgetLedger()

    def fact(self, number: int) -> AnyFact:
        """Return the fact with this number."""
        return Deposit(
            topup_id=f"topup-2026-12-{number:09}",
            budget=budget_name(number),
            tokens=DEPOSIT_TOKENS,
        )


class GrantMaker(FactMaker):
    """Grants of one budget."""

    name = "grant"

    def ledger(self) -> Ledger:
        """Return an empty ledger for these facts."""
        return BudgetLedger()

    def prerequisites(self) -> tuple[AnyFact, ...]:
        """Return the facts to apply before the generated ones."""
        return (Deposit(topup_id="topup-1", budget=BUDGET, tokens=DEPOSIT_TOKENS),)

    def fact(self, number: int) -> AnyFact:
        """Return the fact with this number."""
        return Grant(
            grant_id=f"{HOLDER}/grant-{number}",
            budget=BUDGET,
            holder=HOLDER,
            tokens=GRANT_TOKENS,
            witness=WITNESS,
        )


class ActiveBudgetMaker(FactMaker):
    """Alternately a deposit to a new budget and an open grant of that budget."""

    name = "active-budget"

    def ledger(self) -> Ledger:
        """Return an empty ledger for these facts."""
        return BudgetLedger()

    def fact(self, number: int) -> AnyFact:
        """Return the fact with this number."""
        budget = budget_name(number // 2)
        if number % 2 == 0:
            topup_id = f"topup-2026-12-{number:09}"
            return Deposit(topup_id=topup_id, budget=budget, tokens=DEPOSIT_TOKENS)
        return Grant(
            grant_id=f"{HOLDER}/grant-{number}",
            budget=budget,
            holder=HOLDER,
            tokens=GRANT_TOKENS,
            witness=WITNESS,
        )


class BillMaker(FactMaker):
    """Bills of one grant."""

    name = "bill"
    grant_id = f"{HOLDER}/grant-0"

    def ledger(self) -> Ledger:
        """Return an empty ledger for these facts."""
        return BudgetLedger()

    def prerequisites(self) -> tuple[AnyFact, ...]:
        """Return the facts to apply before the generated ones."""
        deposit = Deposit(topup_id="topup-1", budget=BUDGET, tokens=DEPOSIT_TOKENS)
        grant = Grant(
            grant_id=self.grant_id,
            budget=BUDGET,
            holder=HOLDER,
            tokens=DEPOSIT_TOKENS,
            witness=WITNESS,
        )
        return (deposit, grant)

    def fact(self, number: int) -> AnyFact:
        """Return the fact with this number."""
        return Bill(
            request_key=f"organisation-117/0d9c2a4e-77b1-4b6e-9f0e-{number:012x}",
            run_id=f"{ROUTER}/{number}",
            budget=BUDGET,
            grant_id=self.grant_id,
            tokens=BILL_TOKENS,
            outcome="finished",
            settler=ROUTER,
        )


class ClaimMaker(FactMaker):
    """Alternately a request claim and its outcome with a small answer."""

    name = "claim"

    def ledger(self) -> Ledger:
        """Return an empty ledger for these facts."""
        return RequestClaimLedger()

    def fact(self, number: int) -> AnyFact:
        """Return the fact with this number."""
        claim_key = f"organisation-117/orders/booking-{number // 2:012x}"
        claimant = f"{ROUTER}/{number // 2}"
        if number % 2 == 0:
            return RequestClaim(
                claim_key=claim_key, claimant=claimant, fingerprint=f"{number:064x}"
            )
        return RequestClaimOutcome(
            claim_key=claim_key,
            claimant=claimant,
            state="done",
            status=200,
            content_type="application/json",
            body=b"x" * ANSWER_BYTES,
        )


class ConfigMaker(FactMaker):
    """Configuration changes that each add an endpoint."""

    name = "config"

    def ledger(self) -> Ledger:
        """Return an empty ledger for these facts."""
        return ConfigLedger()

    def fact(self, number: int) -> AnyFact:
        """Return the fact with this number."""
        body = {
            "kind": "model_engine",
            "address": "http://10.20.30.40:8000",
            "data_centre": "dc-3",
            "slots": 16,
            "leaving": False,
        }
        return ConfigChange(
            change_id=f"0d9c2a4e-77b1-4b6e-9f0e-{number:012x}",
            resource_kind="endpoint",
            name=f"model-desk-{number:06}",
            base_version=0,
            author="operator-3",
            body=json.dumps(body).encode(),
        )
