"""An HTTP request."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request; ``path`` includes the query.

    With ``reuse`` the request may be sent on an idle connection. Without it the request
    gets a new connection, so that it never fails because the server has closed an idle
    one: after such a failure it would be unknown whether the request ran.
    """

    method: str
    path: str
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()
    reuse: bool = False
