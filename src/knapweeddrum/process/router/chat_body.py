"""The body of a chat-completion request."""

from __future__ import annotations

from typing import Annotated

import msgspec

from knapweeddrum.process.router.chat_message import ChatMessage
from knapweeddrum.process.router.exceptions import refused
from knapweeddrum.process.router.request_digest import request_digest
from knapweeddrum.process.router.stream_options import StreamOptions
from knapweeddrum.value.refusal_reason import RefusalReason

TOKENS_PER_MESSAGE = 16
"""Upper bound of the tokens that a chat template adds to each message."""

TOKENS_PER_REQUEST = 16
"""Upper bound of the tokens that a chat template adds to a whole prompt."""

MESSAGES_LIMIT = 4096

_Limit = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]


class ChatBody(msgspec.Struct, frozen=True):
    """The fields that the router validates; others reach the engine unchecked."""

    model: Annotated[str, msgspec.Meta(min_length=1, max_length=256)]
    messages: Annotated[
        tuple[ChatMessage, ...], msgspec.Meta(min_length=1, max_length=MESSAGES_LIMIT)
    ]
    stream: bool = False
    stream_options: StreamOptions | None = None
    max_tokens: _Limit | None = None
    max_completion_tokens: _Limit | None = None
    n: Annotated[int, msgspec.Meta(ge=1, le=1)] = 1

    def output_limit(self, route_limit: int) -> int:
        """Return the maximum of output tokens that the run may produce."""
        wanted = self.max_completion_tokens or self.max_tokens or route_limit
        return min(wanted, route_limit)

    def content_digest(self) -> str:
        """Return a digest of model and messages, equal for all callers."""
        fields: list[str | bytes] = [self.model]
        for message in self.messages:
            fields += [message.role, bytes(message.content)]
        return request_digest(*fields)

    def prompt_bound(self, body: bytes) -> int:
        """Return an upper bound of the prompt's tokens.

        A token covers at least one byte of the prompt, and all that an engine may put
        into its prompt (messages, tools, schemas) is contained in ``body``.
        """
        overhead = TOKENS_PER_MESSAGE * len(self.messages) + TOKENS_PER_REQUEST
        return len(body) + overhead


_DECODER = msgspec.json.Decoder(ChatBody)


def decode_chat_body(body: bytes) -> ChatBody:
    """Return the validated body; raises RefusedError with the invalid field."""
    try:
        # The decoder does not check the encoding of the fields that it leaves raw.
        body.decode("utf-8")
        return _DECODER.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        raise refused(RefusalReason.BAD_REQUEST, f"body: {exc}") from exc
