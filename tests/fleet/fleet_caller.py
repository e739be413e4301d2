"""A caller that uses the API key of the test organisation."""

from __future__ import annotations

import contextlib
import json
from collections.abc import Iterator

import httpcore

from tests.fleet.conditions import WAIT_TIMEOUT_SECONDS
from tests.fleet.fleet_answer import FleetAnswer
from tests.fleet.open_answer import OpenAnswer
from tests.fleet.resources import API_KEY, MODEL, SERVICE

TIMEOUT = dict.fromkeys(("connect", "read", "write", "pool"), WAIT_TIMEOUT_SECONDS)


class FleetCaller:
    """Sends requests to routers and names the budget that pays for them."""

    def __init__(self, budget: str) -> None:
        self._budget = budget

    @contextlib.contextmanager
    def open_draft(
        self, router: str, request_id: str, max_tokens: int, prompt: str = "Draft."
    ) -> Iterator[OpenAnswer]:
        """Request a streamed answer; the connection is closed on exit."""
        document = {
            "model": MODEL,
            "stream": True,
            "max_tokens": max_tokens,
            "messages": [{"role": "user", "content": prompt}],
        }
        body = json.dumps(document).encode()
        headers = self._headers("x-request-id", request_id)
        url = f"{router}/v1/chat/completions"
        with (
            httpcore.ConnectionPool() as pool,
            pool.stream(
                "POST", url, headers=headers, content=body, extensions=_EXTENSIONS
            ) as response,
        ):
            yield OpenAnswer(response)

    def draft(
        self, router: str, request_id: str, max_tokens: int, prompt: str = "Draft."
    ) -> FleetAnswer:
        """Read a streamed answer to its end; also returns a refusal or a cut answer."""
        try:
            with self.open_draft(router, request_id, max_tokens, prompt) as answer:
                return answer.read_all()
        except (httpcore.ProtocolError, httpcore.NetworkError):
            return FleetAnswer(0, cut=True)

    def book(self, router: str, key: str, body: bytes = b"{}") -> FleetAnswer:
        """Send a booking with an idempotency key."""
        url = f"{router}/v1/services/{SERVICE}/reservations"
        headers = self._headers("idempotency-key", key)
        try:
            with (
                httpcore.ConnectionPool() as pool,
                pool.stream(
                    "POST", url, headers=headers, content=body, extensions=_EXTENSIONS
                ) as response,
            ):
                return OpenAnswer(response).read_all()
        except (httpcore.ProtocolError, httpcore.NetworkError):
            return FleetAnswer(0, cut=True)

    def _headers(self, name: str, identifier: str) -> dict[str, str]:
        return {
            "authorization": f"Bearer {API_KEY}",
            "content-type": "application/json",
            "knapweed-budget": self._budget,
            name: identifier,
        }


_EXTENSIONS = {"timeout": TIMEOUT}
