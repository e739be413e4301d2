"""Kinds of endpoints."""

from __future__ import annotations

import enum


class EndpointKind(enum.StrEnum):
    """The kind of an endpoint, and of the routes that it serves."""

    MODEL_ENGINE = "model_engine"
    PLAIN_SERVICE = "plain_service"
