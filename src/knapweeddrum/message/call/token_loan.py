"""Loans of prepaid tokens between two hosts.

Hosts of the version before know only the fields without a default.
"""

from __future__ import annotations

import msgspec

from knapweeddrum.value.documents import Count, Measure, SignedCount


class TokenLoanRequest(msgspec.Struct, frozen=True):
    """Asks for the ``shortfall`` tokens that a request lacks, better for ``wanted``."""

    organisation: str
    shortfall: Count
    wanted: SignedCount
    may_claim: bool = False
    """Whether the lender may claim tokens from the store that it does not hold."""
    borrower: str = ""
    """Incarnation that asks; empty if the loan is not recovered when it gets lost."""
    lender: str = ""
    """Incarnation that is asked; ``number`` and ``received`` are about loans by it."""
    number: Count = 0
    """Number of the request, higher than that of each request that was given up."""
    received: Count = 0
    """Tokens of the organisation that the borrower has received from the lender."""
    free: SignedCount = 0
    """Free tokens of the borrower."""


class TokenLoanReply(msgspec.Struct, frozen=True):
    """Tokens that the lender has debited from its own account; 0 for none."""

    tokens: Count
    store_age: Measure
    """Seconds since the store last answered the lender."""
    is_exhausted: bool = False
    """Whether the shortfall exceeds what is left of the prepaid tokens anywhere."""
    may_ask_again: bool = False
    """Whether the shortfall is unclaimed, and only its claim was not in time."""
    plenty: Measure = 1.0
    """Factor, from 0 to 1, on what hosts hold ahead of demand."""
    holders: tuple[str, ...] = ()
    """Peer addresses of hosts that may lend tokens instead."""
    takes_returns: bool = False
    """Whether the lender takes back tokens that the borrower does not need."""


class TokenReturn(msgspec.Struct, frozen=True):
    """Gives tokens back to their lender, debited from the sender's account before.

    ``total`` counts all that the sender ever gave back to this lender, so that the
    loss of a message or of its reply loses no tokens.
    """

    organisation: str
    total: Count
    sender: str
    """Incarnation that gives them."""
    lender: str
    """Incarnation that takes them."""


class TokenReturnReply(msgspec.Struct, frozen=True):
    """Whether the lender counts the total; if not, it never will."""

    is_accepted: bool
