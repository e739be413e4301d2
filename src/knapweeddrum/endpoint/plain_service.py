"""Interface of a plain service."""

from __future__ import annotations

import abc

from knapweeddrum.endpoint.load_report import LoadReport
from knapweeddrum.endpoint.service_reply import ServiceReply
from knapweeddrum.endpoint.service_request import ServiceRequest


class PlainService(abc.ABC):
    """Client of a back end that is no model engine; some calls must not be repeated."""

    @abc.abstractmethod
    async def call(self, req: ServiceRequest, timeout: float) -> ServiceReply:
        """Send a request once and return the answer; ``timeout`` is in seconds.

        Raises EndpointConnectError if the request was not sent, and EndpointError if it
        may have run.
        """

    @abc.abstractmethod
    async def load(self) -> LoadReport:
        """Return the service's load report, which lags behind the actual load."""
