"""What the handling of each request works with."""

from __future__ import annotations

import dataclasses

from knapweeddrum.process.entry.endpoint_permits import EndpointPermits
from knapweeddrum.process.entry.stream_origin_sharing import StreamOriginSharing
from knapweeddrum.process.entry.token_allocator import TokenAllocator


@dataclasses.dataclass(frozen=True, slots=True)
class RequestParts:
    """Parts of the process that all requests share."""

    allocator: TokenAllocator
    stream_origins: StreamOriginSharing
    permits: EndpointPermits
