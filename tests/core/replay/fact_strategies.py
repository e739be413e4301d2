"""Random facts with few identifiers, so that several facts often share one."""

from __future__ import annotations

from hypothesis import strategies as st

from knapweeddrum.message.fact.bill import Bill
from knapweeddrum.message.fact.charge import Charge
from knapweeddrum.message.fact.checkpoint_part import CheckpointPart
from knapweeddrum.message.fact.config_change import ConfigChange
from knapweeddrum.message.fact.deposit import Deposit
from knapweeddrum.message.fact.grant import Grant
from knapweeddrum.message.fact.grant_release import GrantRelease
from knapweeddrum.message.fact.grant_return import GrantReturn
from knapweeddrum.message.fact.request_claim import RequestClaim
from knapweeddrum.message.fact.request_claim_outcome import RequestClaimOutcome


def names(prefix: str, count: int = 3) -> st.SearchStrategy[str]:
    return st.sampled_from([f"{prefix}{number}" for number in range(count)])


TOKENS = st.integers(0, 20)
BUDGETS = names("org/b", 2)
HOLDERS = names("k")
GRANTS = names("g", 4)
CHARGES = st.lists(st.builds(Charge, GRANTS, TOKENS), max_size=2).map(tuple)

BILL_FACTS = st.builds(
    Bill,
    names("r", 2),
    names("run", 2),
    BUDGETS,
    GRANTS,
    TOKENS,
    st.just("finished"),
    names("s", 1),
    CHARGES,
    st.integers(0, 2),
)
BUDGET_FACTS = st.one_of(
    st.builds(Deposit, names("t", 5), BUDGETS, TOKENS),
    st.builds(Grant, GRANTS, BUDGETS, HOLDERS, TOKENS, HOLDERS),
    st.builds(GrantReturn, names("u"), GRANTS, BUDGETS, TOKENS, st.booleans()),
    st.builds(GrantRelease, GRANTS, BUDGETS, HOLDERS, TOKENS),
    BILL_FACTS,
)
BODIES = st.sampled_from([b"", b"answer", b"a long answer"])
CLAIM_FACTS = st.one_of(
    st.builds(RequestClaim, names("key"), names("c", 2), names("print", 2)),
    st.builds(
        RequestClaimOutcome,
        names("key"),
        names("c", 2),
        st.sampled_from(["done", "not_run", "unknown", "later"]),
        st.just(200),
        st.just("text/plain"),
        BODIES,
    ),
)


def claim_and_outcome(
    claim_key: str, body: bytes
) -> tuple[RequestClaim, RequestClaimOutcome]:
    """Return a claim and the outcome with its answer."""
    outcome = RequestClaimOutcome(claim_key, "c0", "done", 200, "text/plain", body)
    return RequestClaim(claim_key, "c0", "print0"), outcome


ANSWERED_CLAIMS = st.builds(claim_and_outcome, names("key", 4), BODIES)
CONFIG_FACTS = st.builds(
    ConfigChange,
    names("change", 12),
    st.just("route"),
    names("n", 2),
    st.integers(0, 4),
    st.just("operator"),
    st.binary(max_size=2),
    st.booleans(),
)
CHECKPOINT_FACTS = st.builds(
    CheckpointPart, names("cp"), st.just(0), st.just(0), st.just(1), st.just(b"x")
)
