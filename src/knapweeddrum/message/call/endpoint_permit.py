"""Permit to send a request to an endpoint that has named a limit."""

from __future__ import annotations

import msgspec

from knapweeddrum.value.documents import Measure
from knapweeddrum.value.told_limit import AnswerCount, ToldLimit


class PermitRequest(msgspec.Struct, frozen=True):
    """Asks the owner of an endpoint's permits for one."""

    instance: str
    """Start of the endpoint."""
    per_second: Measure | None
    """Limit as the asking host knows it, None if it has ended."""
    age: Measure
    """Seconds since an answer named it."""
    sender: str
    """Incarnation that asks."""
    unnamed_answers: AnswerCount = 0
    """Served answers in a row since then that did not name it."""
    cold_per_second: Measure | None = None
    """Limit that the asking host applies as the endpoint is cold."""
    may_err: bool = False
    """Whether it applies that only because its service list is old."""

    @property
    def limit(self) -> ToldLimit:
        """Return what the asking host knows."""
        return ToldLimit(self.instance, self.per_second, self.age, self.unnamed_answers)


class PermitReply(msgspec.Struct, frozen=True):
    """Whether a permit was given; without one, ``wait`` seconds until the next try."""

    is_given: bool
    wait: Measure = 0.0
    per_second: Measure | None = None
    """Limit as the owner knows it, None if it has ended."""
    age: Measure = 0.0
    unnamed_answers: AnswerCount = 0
    is_withheld: bool = False
    """Whether the owner gives none at all, as another one may have taken over."""

    def limit(self, instance: str) -> ToldLimit:
        """Return what the owner knows of an endpoint."""
        return ToldLimit(instance, self.per_second, self.age, self.unnamed_answers)


class LimitNews(msgspec.Struct, frozen=True):
    """Tells the owner of an endpoint's permits what an answer said of its limit."""

    limit: ToldLimit


class LimitNewsReply(msgspec.Struct, frozen=True):
    """The owner has taken it in."""
