"""Phases of a client's connection."""

from __future__ import annotations

import enum


class ConnectionPhase(enum.StrEnum):
    """What a server connection does at a moment."""

    WAITING = "waiting"
    """No byte of a request has been received."""
    RECEIVING = "receiving"
    """A request has begun and isn't whole."""
    SERVED = "served"
    """A whole request is being worked on."""
    SENDING = "sending"
    """The peer has not taken all that was written."""
    ENDING = "ending"
    """All was answered; further input is discarded."""
