"""How the router gets clients of endpoints."""

from __future__ import annotations

import abc
from contextlib import AbstractAsyncContextManager

from knapweeddrum.endpoint.model_engine import ModelEngine
from knapweeddrum.endpoint.plain_service import PlainService
from knapweeddrum.message.resource.endpoint import Endpoint


class EndpointClients(abc.ABC):
    """Makes a client for each endpoint of the configuration.

    A client's context owns its connections; entering it makes none yet.
    """

    @abc.abstractmethod
    def engine(self, endpoint: Endpoint) -> AbstractAsyncContextManager[ModelEngine]:
        """Return a client of a model engine."""

    @abc.abstractmethod
    def service(self, endpoint: Endpoint) -> AbstractAsyncContextManager[PlainService]:
        """Return a client of a plain service."""
