"""An admitted request."""

from __future__ import annotations

import dataclasses

from knapweeddrum.core.admission.crash_suspect import part_suspect
from knapweeddrum.core.capacity.prompt_parts import NO_PROMPT, PromptParts
from knapweeddrum.core.catalog.organisation import Organisation
from knapweeddrum.core.catalog.route import Route
from knapweeddrum.core.catalog.route_kind import RouteKind
from knapweeddrum.platform.caller_request import CallerRequest
from knapweeddrum.value.body_framing import BodyFraming


@dataclasses.dataclass(slots=True)
class RequestJob:
    """An admitted request and the progress of its attempts.

    Times are monotonic seconds; ``deadline`` is the earlier of the caller's and the
    route's.
    """

    req: CallerRequest
    body: bytes
    route: Route
    service: str
    organisation: Organisation | None
    config_version: int
    arrived_at: float
    deadline: float
    max_connections: int
    """Limit on the connections of this host to one endpoint of the service."""
    tokens_per_event: int = 1
    fingerprint: str = ""
    """Digest of caller, path and body, equal for all copies of the request."""
    sends: int = 0
    """Endpoints that the request was sent to."""
    refused_sends: int = 0
    """Endpoints among these that reported that they did not run the request."""
    connect_failures: int = 0
    lost_connections: int = 0
    """Endpoints among these that ended the connection within the exchange."""
    earlier_crashes: int = 0
    """Crashes that counted against the request when it arrived."""
    tried: set[str] = dataclasses.field(default_factory=set)
    """Ids of the endpoints that are not tried again."""
    permit_at: float | None = None
    """Time of the permit for the endpoint chosen last, None if it needed none."""
    endpoint_id: str = ""
    via: str = ""
    """Host through which that endpoint was reached, empty for none."""
    stream_version: str | None = None
    """Software version that began the stream, None while none is known to have."""
    first_chunk_at: float | None = None
    answer_framing: BodyFraming | None = None
    """Framing of the last attempt's answer, None before it."""
    rest_bytes: int = 0
    """Bytes received of that answer after its last complete event."""

    @property
    def suspect_parts(self) -> tuple[str, ...]:
        """Return the parts of the prompt by their names among the suspects."""
        prompt = self.req.prompt
        return tuple(part_suspect(p) for p in prompt.parts) if prompt else ()

    @property
    def takes_up_stream(self) -> bool:
        """Return whether the caller goes on with a stream that it has a part of."""
        is_stream = self.route.kind is RouteKind.STREAMING
        return is_stream and bool(self.req.resumed_attempt or self.req.resume_after)

    @property
    def may_have_run(self) -> bool:
        """Return whether any endpoint may have run the request."""
        return self.sends > self.refused_sends

    @property
    def organisation_name(self) -> str | None:
        """Return the name of the caller's organisation."""
        return self.organisation.name if self.organisation is not None else None

    @property
    def priority(self) -> int:
        """Return the organisation's priority, else the route's; 0 is most urgent."""
        organisation = self.organisation
        if organisation is not None and organisation.priority is not None:
            return organisation.priority
        return self.route.priority

    @property
    def reserved_tokens(self) -> int:
        """Return the largest number of tokens that the request may consume."""
        prompt = self.req.prompt
        return prompt.input_tokens + prompt.output_limit if prompt is not None else 0

    @property
    def input_tokens(self) -> int:
        """Return the tokens of the prompt."""
        return self.req.prompt.input_tokens if self.req.prompt is not None else 0

    @property
    def prompt_parts(self) -> PromptParts:
        """Return the size of the prompt and of the parts that it shares."""
        prompt = self.req.prompt
        if prompt is None:
            return NO_PROMPT
        shared = tuple(zip(prompt.parts, prompt.part_tokens, strict=False))
        return PromptParts(prompt.input_tokens, shared, prompt.output_limit)
