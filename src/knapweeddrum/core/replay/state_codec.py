"""Encoding of ledger states as MessagePack."""

from __future__ import annotations

from typing import TypeVar

import msgspec

from knapweeddrum.core.exceptions import StateError

StateT = TypeVar("StateT")

_ENCODER = msgspec.msgpack.Encoder()


def encode_state(state: msgspec.Struct) -> bytes:
    """Return the encoded state."""
    return _ENCODER.encode(state)


def decode_state(state: bytes, kind: type[StateT]) -> StateT:
    """Return the state of the given type; raises StateError for any other bytes."""
    try:
        return msgspec.msgpack.decode(state, type=kind)
    except msgspec.MsgspecError as exc:
        raise StateError(f"no state of type {kind.__name__}: {exc}") from exc
