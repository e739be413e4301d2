"""Authentication of operators."""

from __future__ import annotations

import hashlib
import hmac

from knapweeddrum.process.control.api_request import ApiRequest
from knapweeddrum.process.control.exceptions import ProblemError
from knapweeddrum.process.control.problem import Problem
from knapweeddrum.value.control_refusal_reason import ControlRefusalReason

BEARER_PREFIX = "Bearer "


class OperatorGuard:
    """Admits requests with the bearer token that has this SHA-256 digest (hex).

    An empty digest disables authentication.
    """

    def __init__(self, digest: str) -> None:
        self._digest = digest

    def check(self, req: ApiRequest) -> None:
        """Raise ProblemError unless the request has the token."""
        if not self._digest:
            return
        token = req.header("authorization").removeprefix(BEARER_PREFIX)
        digest = hashlib.sha256(token.encode("latin-1")).hexdigest()
        if hmac.compare_digest(digest, self._digest):
            return
        raise ProblemError(
            Problem(
                ControlRefusalReason.UNAUTHENTICATED,
                "the operators' token is missing or wrong",
            )
        )
