"""Encoding of ledger states as MessagePack."""

from __future__ import annotations

from typing import TypeVar

import msgspec

from knapweeddrum.core.exceptions import StateError
from knapweeddrum.value.documents import MalformedDocumentError, decode_message_pack

StateT = TypeVar("StateT")

_ENCODER = msgspec.msgpack.Encoder()


def encode_state(state: msgspec.Struct) -> bytes:
    """Return the encoded state."""
    return _ENCODER.encode(state)


def decode_state(state: bytes, kind: type[StateT]) -> StateT:
    """Return the decoded state of type ``kind``.

    Raises StateError if the bytes don't encode such a state.
    """
    try:
        return decode_message_pack(state, kind)
    except MalformedDocumentError as exc:
        raise StateError(f"can't decode {kind.__name__}: {exc}") from exc
