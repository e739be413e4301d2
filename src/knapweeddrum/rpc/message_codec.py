"""Codec of the calls between processes: MessagePack over typed messages."""

from __future__ import annotations

from typing import Any

import msgspec
from grpclib.encoding.base import CodecBase

from knapweeddrum.value.documents import decode_message_pack


class MessageCodec(CodecBase):
    """Encode and decode messages by their declared type."""

    __content_subtype__ = "msgpack"

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return the message as MessagePack."""
        if not isinstance(message, message_type):
            raise TypeError(f"expected {message_type}, got {type(message)}")
        return msgspec.msgpack.encode(message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Return the message; raises MalformedDocumentError for a malformed one."""
        return decode_message_pack(data, message_type)
