"""Errors of the transport between processes."""

from __future__ import annotations


class RpcError(Exception):
    """A call to another process failed; it may or may not have been carried out."""


class PeerRejectedError(RpcError):
    """The peer belongs to another fleet, has another key or another version."""


class PeerUnreachableError(RpcError):
    """No connection to the peer came about: the call was not carried out."""
