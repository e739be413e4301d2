"""Factories of endpoint clients."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager

from knapweeddrum.endpoint.model_engine import ModelEngine
from knapweeddrum.endpoint.plain_service import PlainService


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointClients:
    """Functions that create a client for the endpoint at an address.

    The context manager owns the connections; entering it opens none yet.
    """

    engine: Callable[[str], AbstractAsyncContextManager[ModelEngine]]
    service: Callable[[str], AbstractAsyncContextManager[PlainService]]
