"""Digests of a prompt's prefixes, as engines publish them."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

import msgspec

from knapweeddrum.process.router.chat_message import ChatMessage

PREFIX_DIGEST_LENGTH = 16
"""Hexadecimal digits of a digest; see docs/PROTOCOLS.md."""

PROMPT_PREFIXES_LIMIT = 32
"""Maximum of prefixes of one prompt that are looked up; the longest are kept."""

_TEXT = msgspec.json.Decoder(str)


def prefix_digests(messages: Iterable[ChatMessage]) -> tuple[str, ...]:
    """Return the digest of each prefix of whole messages, the longest first.

    Prefixes end before the first message whose content is not plain text.
    """
    digest = hashlib.sha256()
    digests = []
    for message in messages:
        try:
            content = _TEXT.decode(message.content)
        except msgspec.MsgspecError:
            break
        digest.update(f"{message.role}\n{content}\n".encode("utf-8", "replace"))
        digests.append(digest.hexdigest()[:PREFIX_DIGEST_LENGTH])
    return tuple(reversed(digests[-PROMPT_PREFIXES_LIMIT:]))
