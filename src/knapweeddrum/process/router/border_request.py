"""A caller's HTTP request, read at the border."""

from __future__ import annotations

import dataclasses

from knapweeddrum.process.router.caller_headers import CallerHeaders
from knapweeddrum.value.identifiers import OrganisationName


@dataclasses.dataclass(frozen=True, slots=True)
class BorderRequest:
    """Method, path, query, checked headers, whole body and authenticated caller.

    ``request_id`` is the caller's, or minted when ``minted``.
    """

    method: str
    path: str
    query: str
    headers: CallerHeaders
    organisation: OrganisationName
    request_id: str
    minted: bool
    body: bytes
