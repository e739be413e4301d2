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
"""One life of one process: ``host/role/random``."""
GrantId = NewType("GrantId", str)
RequestKey = NewType("RequestKey", str)
"""``organisation/request identifier``; names one request across caller retries."""
RunId = NewType("RunId", str)
"""One execution of a request at an engine."""
ClaimKey = NewType("ClaimKey", str)
"""``organisation/route/idempotency key``."""
StreamName = NewType("StreamName", str)
"""A stream of the platform's log."""
