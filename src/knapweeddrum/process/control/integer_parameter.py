"""Parsing of integers in query parameters and headers."""

from __future__ import annotations

import re

from knapweeddrum.process.control.field_error import FieldError
from knapweeddrum.process.control.model.exceptions import InvalidDocumentError
from knapweeddrum.process.control.model.limits import INTEGER_LIMIT
from knapweeddrum.process.control.problems import invalid

INTEGER_PATTERN = re.compile(r"-?[0-9]{1,16}")
SHOWN_VALUE_LENGTH = 32


def integer_parameter(name: str, text: str, minimum: int) -> int:
    """Return the integer; raises ProblemError unless the text is one in range.

    The range is from ``minimum`` to INTEGER_LIMIT.
    """
    if INTEGER_PATTERN.fullmatch(text) and minimum <= int(text) <= INTEGER_LIMIT:
        return int(text)
    error = FieldError(
        name, text[:SHOWN_VALUE_LENGTH] or "nothing", f"{minimum} or more"
    )
    raise invalid(InvalidDocumentError((error,)))
