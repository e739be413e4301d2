"""Random facts with few identifiers, so that they meet often."""

from __future__ import annotations

from hypothesis import strategies as st

from knapweeddrum.message.fact.bill import Bill
from knapweeddrum.message.fact.charge import Charge
from knapweeddrum.message.fact.checkpoint_part import CheckpointPart
from knapweeddrum.message.fact.claim import Claim
from knapweeddrum.message.fact.claim_outcome import ClaimOutcome
from knapweeddrum.message.fact.config_change import ConfigChange
from knapweeddrum.message.fact.deposit import Deposit
from knapweeddrum.message.fact.grant import Grant
from knapweeddrum.message.fact.grant_release import GrantRelease
from knapweeddrum.message.fact.grant_return import GrantReturn


def names(prefix: str, count: int = 3) -> st.SearchStrategy[str]:
    return st.sampled_from([f"{prefix}{number}" for number in range(count)])


TOKENS = st.integers(0, 20)
BUDGETS = names("org/b", 2)
HOLDERS = names("k")
GRANTS = names("g", 4)
CHARGES = st.lists(st.builds(Charge, GRANTS, TOKENS), max_size=2).map(tuple)

BUDGET_FACTS = st.one_of(
    st.builds(Deposit, names("t", 5), BUDGETS, TOKENS),
    st.builds(Grant, GRANTS, BUDGETS, HOLDERS, TOKENS, HOLDERS),
    st.builds(GrantReturn, names("u"), GRANTS, BUDGETS, TOKENS, st.booleans()),
    st.builds(GrantRelease, GRANTS, BUDGETS, HOLDERS, TOKENS),
    st.builds(
        Bill,
        names("r", 4),
        names("run"),
        BUDGETS,
        GRANTS,
        TOKENS,
        st.just("finished"),
        names("s", 2),
        CHARGES,
        st.integers(0, 2),
    ),
)
CLAIM_FACTS = st.one_of(
    st.builds(Claim, names("key"), names("c"), names("print", 2)),
    st.builds(
        ClaimOutcome,
        names("key"),
        names("c"),
        st.sampled_from(["done", "not_run", "unknown", "later"]),
        st.just(200),
        st.just("text/plain"),
        st.binary(max_size=12),
    ),
)
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
