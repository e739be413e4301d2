"""Kinds of endpoint behind the routers."""

from __future__ import annotations

import enum


class EndpointKind(enum.StrEnum):
    """What a route leads to."""

    MODEL_ENGINE = "model_engine"
    PLAIN_SERVICE = "plain_service"
