"""Identifier types; each is a plain string at run time."""

from __future__ import annotations

from typing import NewType

HostName = NewType("HostName", str)
DataCentre = NewType("DataCentre", str)
OrganisationName = NewType("OrganisationName", str)
BudgetName = NewType("BudgetName", str)
"""``organisation/budget``."""
EndpointName = NewType("EndpointName", str)
RouteName = NewType("RouteName", str)
Incarnation = NewType("Incarnation", str)
"""One process from its start to its end: ``host/role/unique suffix``."""
GrantId = NewType("GrantId", str)
RequestKey = NewType("RequestKey", str)
"""``organisation/request identifier``; the same for all retries by the caller."""
RunId = NewType("RunId", str)
"""One execution of a request at a model engine."""
ClaimKey = NewType("ClaimKey", str)
"""``organisation/route/idempotency key`` of a request that is not repeatable."""
StreamName = NewType("StreamName", str)
"""A stream of the platform's log."""
