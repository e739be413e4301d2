from __future__ import annotations

from nose2.tools import params

from knapweeddrum.core.placing.named_limit import NamedLimit
from knapweeddrum.http.header_list import HeaderList
from knapweeddrum.platform.server_limit import decode_server_limit

MALFORMED = (b"", b"-1", b"NaN", b"inf", b"1e3", b"1,5", b"99999999", b"0x1")


def decode(*values: bytes) -> NamedLimit:
    return decode_server_limit(HeaderList((b"Server-Limit", v) for v in values))


def test_limit_is_a_decimal_number_of_requests_a_second():
    """An answer without the header names none."""
    assert decode(b"1.1") == NamedLimit(1.1)
    assert decode(b" 20 ") == NamedLimit(20.0)
    assert decode() == NamedLimit()


@params(*MALFORMED)
def test_malformed_limit_tells_nothing(value: bytes):
    """It neither sets a limit nor ends one."""
    assert decode(value) == NamedLimit(is_malformed=True)


def test_limit_that_is_named_twice_tells_nothing():
    """It isn't known which one holds."""
    assert decode(b"1", b"1") == NamedLimit(is_malformed=True)
