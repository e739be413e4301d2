"""Decodes the limit on requests that an endpoint names in its answers."""

from __future__ import annotations

import re

from knapweeddrum.core.placing.named_limit import NamedLimit
from knapweeddrum.http.header_list import HeaderList
from knapweeddrum.platform.header_names import SERVER_LIMIT

DECIMAL_PATTERN = re.compile(r"\d{1,9}(\.\d{1,9})?")
MAX_LIMIT_PER_SECOND = 1_000_000.0
"""A higher limit is taken to be meaningless."""


def decode_server_limit(headers: HeaderList) -> NamedLimit:
    """Return the limit that the headers of an answer name."""
    values = headers.get_all(SERVER_LIMIT)
    if not values:
        return NamedLimit()
    value = values[0].decode("latin-1").strip()
    if len(values) > 1 or DECIMAL_PATTERN.fullmatch(value) is None:
        return NamedLimit(is_malformed=True)
    per_second = float(value)
    if per_second > MAX_LIMIT_PER_SECOND:
        return NamedLimit(is_malformed=True)
    return NamedLimit(per_second)
