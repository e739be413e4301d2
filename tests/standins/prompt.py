"""The request body of a caller, as the stand-in for a model engine reads it."""

from __future__ import annotations

import hashlib
from collections.abc import Iterator

import msgspec

BYTES_PER_TOKEN = 4
DIGEST_LENGTH = 16
DEFAULT_OUTPUT_TOKENS = 20


class Message(msgspec.Struct):
    """A message of the conversation."""

    role: str
    content: str


class Prompt(msgspec.Struct):
    """Messages, and the caller's limit on the answer in tokens."""

    messages: tuple[Message, ...] = ()
    max_tokens: int | None = None

    @property
    def tokens(self) -> int:
        """Return the length of the prompt in tokens."""
        return sum(
            len(message.content.encode()) // BYTES_PER_TOKEN + 1
            for message in self.messages
        )

    @property
    def output_tokens(self) -> int:
        """Return the length of the answer if no other limit ends it, in tokens."""
        if self.max_tokens is None:
            return DEFAULT_OUTPUT_TOKENS
        return max(self.max_tokens, 1)

    def contains(self, marker: str) -> bool:
        """Return whether a message contains the marker."""
        return any(marker in message.content for message in self.messages)

    def message_prefix_digests(self) -> Iterator[str]:
        """Return the digests that identify prompt prefixes in the prefix cache.

        The n-th digest is that of the first n messages.
        """
        digest = hashlib.sha256()
        for message in self.messages:
            digest.update(f"{message.role}\n{message.content}\n".encode())
            yield digest.hexdigest()[:DIGEST_LENGTH]
