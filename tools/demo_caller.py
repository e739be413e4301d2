"""The demo's caller: model requests and bookings over HTTP."""

from __future__ import annotations

import dataclasses
import json

import httpcore


@dataclasses.dataclass(frozen=True, slots=True)
class CallResult:
    """HTTP status, text, whether the answer is complete, and reason of a refusal."""

    status: int
    text: str
    complete: bool
    reason: str = ""


class DemoCaller:
    """Sends requests to routers with one organisation's API key."""

    def __init__(self, api_key: str, model: str) -> None:
        self._headers = {
            "authorization": f"Bearer {api_key}",
            "content-type": "application/json",
        }
        self._model = model

    def draft(
        self, router: str, prompt: str, max_tokens: int, stop_after: int | None = None
    ) -> CallResult:
        """Stream an answer; close the connection after ``stop_after`` chunks."""
        document = {
            "model": self._model,
            "stream": True,
            "max_tokens": max_tokens,
            "messages": [{"role": "user", "content": prompt}],
        }
        body = json.dumps(document).encode()
        url = f"{router}/v1/chat/completions"
        with (
            httpcore.ConnectionPool() as pool,
            pool.stream("POST", url, headers=self._headers, content=body) as response,
        ):
            if response.status != 200:
                return self._refused(response.status, response.read())
            return self._collect(response, stop_after)

    def book(self, router: str, route: str, key: str, body: bytes) -> CallResult:
        """Send a booking with an idempotency key."""
        headers = {**self._headers, "idempotency-key": key}
        url = f"{router}/v1/services/{route}/reservations"
        with httpcore.ConnectionPool() as pool:
            response = pool.request("POST", url, headers=headers, content=body)
        if response.status >= 400:
            return self._refused(response.status, response.content)
        return CallResult(response.status, response.content.decode(), complete=True)

    @staticmethod
    def _refused(status: int, content: bytes) -> CallResult:
        problem = json.loads(content)
        return CallResult(status, "", complete=False, reason=problem["reason"])

    @staticmethod
    def _collect(response: httpcore.Response, stop_after: int | None) -> CallResult:
        buffer = b""
        texts: list[str] = []
        for data in response.iter_stream():
            buffer += data
            *events, buffer = buffer.split(b"\n\n")
            for event in events:
                if event == b"data: [DONE]":
                    return CallResult(200, "".join(texts), complete=True)
                if not event.startswith(b"data: "):
                    continue
                for choice in json.loads(event[6:]).get("choices", ()):
                    texts.append(choice["delta"].get("content", ""))
            if stop_after is not None and len(texts) >= stop_after:
                break
        return CallResult(200, "".join(texts), complete=False)
