"""Errors of the calls between processes."""

from __future__ import annotations


class RpcError(Exception):
    """A call to another process failed; it may or may not have been carried out."""


class PeerRejectedError(RpcError):
    """The peer belongs to another fleet or has a different key or protocol version."""


class PeerUnreachableError(RpcError):
    """No connection to the peer could be made, so the call was not carried out."""
