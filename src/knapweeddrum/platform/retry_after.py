"""Decodes the header Retry-After of an endpoint's refusal."""

from __future__ import annotations

import re

from knapweeddrum.core.placing.back_off import BackOff
from knapweeddrum.http.header_list import HeaderList
from knapweeddrum.platform.header_names import RETRY_AFTER

SECONDS_PATTERN = re.compile(r"\d{1,9}(\.\d{1,9})?")


def decode_back_off(headers: HeaderList) -> BackOff | None:
    """Return what an endpoint wants, None if its refusal has no Retry-After.

    A date, a repeated header or a value that is no number of seconds is meaningless.
    """
    values = headers.get_all(RETRY_AFTER)
    if not values:
        return None
    text = values[0].decode("latin-1").strip()
    if len(values) > 1 or SECONDS_PATTERN.fullmatch(text) is None:
        return BackOff(None)
    return BackOff(float(text))
