from __future__ import annotations

import dataclasses
from typing import Any

import msgspec


@dataclasses.dataclass(frozen=True)
class ChatReply:
    """The HTTP reply that a caller of the router receives."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        return msgspec.json.decode(self.body)

    def events(self) -> list[bytes]:
        """Return the server-sent events of a stream."""
        return [event for event in self.body.split(b"\n\n") if event]

    def text(self) -> str:
        """Return the text of a streamed answer."""
        chunks = [
            msgspec.json.decode(event.removeprefix(b"data: "))
            for event in self.events()
            if event.startswith(b"data: {")
        ]
        deltas = [choice["delta"] for chunk in chunks for choice in chunk["choices"]]
        return "".join(delta.get("content") or "" for delta in deltas)

    @property
    def is_complete(self) -> bool:
        return self.events()[-1:] == [b"data: [DONE]"]
