from __future__ import annotations

import dataclasses
import json


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A complete HTTP response."""

    status: int
    headers: dict[str, str]
    body: bytes

    @classmethod
    def from_messages(cls, messages: list[dict[str, object]]) -> Answer:
        """Return the response that consists of these ASGI messages."""
        head = messages[0]
        headers = {n.decode(): v.decode() for n, v in head["headers"]}
        body = b"".join(message["body"] for message in messages[1:])
        return cls(head["status"], headers, body)

    @property
    def document(self):
        return json.loads(self.body)
