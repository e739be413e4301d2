"""Base class of the request handlers."""

from __future__ import annotations

import abc

from knapweeddrum.process.control.api_request import ApiRequest
from knapweeddrum.process.control.api_response import ApiResponse
from knapweeddrum.process.control.event_stream import EventStream


class Handler(abc.ABC):
    """Serves the requests to one path; ``names`` are the groups of its pattern."""

    @abc.abstractmethod
    async def handle(
        self, req: ApiRequest, names: tuple[str, ...]
    ) -> ApiResponse | EventStream:
        """Return the response.

        Raises ProblemError, KeeperUnavailableError and KeeperReplyLostError.
        """
