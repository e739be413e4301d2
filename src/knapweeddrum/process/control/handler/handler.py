"""Base class of the request handlers."""

from __future__ import annotations

import abc

from knapweeddrum.process.control.api_request import ApiRequest
from knapweeddrum.process.control.api_response import ApiResponse
from knapweeddrum.process.control.event_stream import EventStream


class Handler(abc.ABC):
    """Serves the requests to one path; ``path_params`` are its variable parts."""

    @abc.abstractmethod
    async def handle(
        self, req: ApiRequest, path_params: tuple[str, ...]
    ) -> ApiResponse | EventStream:
        """Return the response.

        Raises ProblemError, KeeperUnavailableError and KeeperReplyLostError.
        """
