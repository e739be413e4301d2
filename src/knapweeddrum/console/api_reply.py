"""A response from the resource API."""

from __future__ import annotations

import dataclasses
from typing import TypeVar

from knapweeddrum.console.exceptions import ConsoleError
from knapweeddrum.console.exit_code import ExitCode
from knapweeddrum.value.documents import MalformedDocumentError, decode_json

DocumentT = TypeVar("DocumentT")


@dataclasses.dataclass(frozen=True, slots=True)
class ApiReply:
    """HTTP status and JSON body of a response."""

    status: int
    body: bytes

    def decode(self, document_type: type[DocumentT]) -> DocumentT:
        """Return the decoded body; raises ConsoleError if it is malformed."""
        try:
            return decode_json(self.body, document_type)
        except MalformedDocumentError as exc:
            raise ConsoleError(
                f"the server's response is malformed: {exc}", ExitCode.FAILED
            ) from exc
