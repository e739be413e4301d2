"""A request offered for admission."""

from __future__ import annotations

import dataclasses

from knapweeddrum.value.identifiers import OrganisationName, RouteName
from knapweeddrum.value.priority import Priority


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """``request_id`` is unique among the requests of this router.

    ``deadline`` is in monotonic seconds. ``weight`` is the organisation's relative
    share under overload, ``cost`` the size of the request in any unit common to a
    route.
    """

    request_id: str
    route: RouteName
    organisation: OrganisationName
    deadline: float
    priority: Priority = Priority.LIVE
    weight: float = 1.0
    cost: float = 1.0
