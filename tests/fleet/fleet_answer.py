"""A router's answer as its caller received it."""

from __future__ import annotations

import dataclasses
import json

DONE_EVENT = "data: [DONE]"


@dataclasses.dataclass(frozen=True, slots=True)
class FleetAnswer:
    """HTTP answer; status 0 if the connection failed before the response head."""

    status: int
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    cut: bool = False

    @property
    def events(self) -> list[str]:
        """Return the server-sent events of the body."""
        return [event for event in self.body.decode().split("\n\n") if event]

    @property
    def complete(self) -> bool:
        """Return whether the answer is complete and, if not streamed, successful."""
        if self.headers.get("content-type") == "text/event-stream":
            return not self.cut and self.events[-1:] == [DONE_EVENT]
        return self.status == 200 and not self.cut

    @property
    def text(self) -> str:
        """Return the text of a streamed answer."""
        return "".join(chunk_text(event) for event in self.events)

    @property
    def refusal(self) -> tuple[int, str, str]:
        """Return status, reason and run state of a refusal."""
        problem = self.problem
        return self.status, problem.get("reason", ""), problem.get("run_state", "")

    @property
    def problem(self) -> dict[str, str]:
        """Return the problem document of a refusal or aborted stream, else ``{}``."""
        content_type = self.headers.get("content-type", "")
        if content_type.startswith("application/problem+json"):
            return json.loads(self.body)
        head, _, data = self.events[-1].partition("\ndata: ") if self.body else [""] * 3
        return json.loads(data) if head == "event: error" else {}


def chunk_text(event: str) -> str:
    """Return the text in one server-sent event."""
    if not event.startswith("data: {"):
        return ""
    choices = json.loads(event.removeprefix("data: ")).get("choices", ())
    return "".join(choice["delta"].get("content", "") for choice in choices)
