"""Loan of prepaid tokens between two hosts; loans are not paid back."""

from __future__ import annotations

import msgspec


class TokenLoanRequest(msgspec.Struct, frozen=True):
    """Asks for the ``shortfall`` tokens that a request lacks, better for ``wanted``."""

    organisation: str
    shortfall: int
    wanted: int
    may_claim: bool = False
    """Whether the lender may claim tokens from the store that it does not hold."""


class TokenLoanReply(msgspec.Struct, frozen=True):
    """Tokens that the lender has debited from its own account; 0 for none."""

    tokens: int
    store_age: float
    """Seconds since the store last answered the lender."""
