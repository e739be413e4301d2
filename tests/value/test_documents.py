from __future__ import annotations

import sys
import unittest

import msgspec

from knapweeddrum.value.documents import (
    MalformedDocumentError,
    decode_json,
    decode_message_pack,
)

CASE = unittest.TestCase()
DEPTH = 4 * sys.getrecursionlimit()


class _Document(msgspec.Struct):
    number: int


def nested(depth: int = DEPTH) -> bytes:
    """Return JSON lists within each other."""
    return b"[" * depth + b"]" * depth


def test_values_nested_too_deep_are_malformed():
    """They are no error of msgspec, also in a field that the document lacks."""
    for body in (nested(), b'{"number": 1, "other": %s}' % nested()):
        with CASE.assertRaises(MalformedDocumentError):
            decode_json(body, _Document)
    with CASE.assertRaises(MalformedDocumentError):
        decode_message_pack(b"\x91" * DEPTH + b"\x01", object)


def test_other_bytes_than_the_document_are_malformed():
    """Whatever the decoder dislikes, there is one error to catch."""
    for body in (b"", b"{", b'{"number": "1"}', b'{"number": NaN}', b"\xff"):
        with CASE.assertRaises(MalformedDocumentError):
            decode_json(body, _Document)


def test_document_is_decoded():
    """Fields that the document lacks are ignored."""
    assert decode_json(b'{"number": 1, "other": [[]]}', _Document) == _Document(1)
