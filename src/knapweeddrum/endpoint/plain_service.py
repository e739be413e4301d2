"""Interface of a plain service."""

from __future__ import annotations

import abc

from knapweeddrum.endpoint.load_report import LoadReport
from knapweeddrum.endpoint.service_reply import ServiceReply
from knapweeddrum.endpoint.service_request import ServiceRequest


class PlainService(abc.ABC):
    """A service beside the model engines; some of its calls may not be repeated."""

    @abc.abstractmethod
    async def call(self, req: ServiceRequest, timeout: float) -> ServiceReply:
        """Send a request once and return the answer; ``timeout`` is in seconds.

        Raises EndpointConnectError when it was not sent, EndpointError when it may
        have run.
        """

    @abc.abstractmethod
    async def load(self) -> LoadReport:
        """Return the service's load; it lags."""
