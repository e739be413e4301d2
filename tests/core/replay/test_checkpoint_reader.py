from __future__ import annotations

import unittest
from unittest import mock

from knapweeddrum.core.replay import checkpoint_reader
from knapweeddrum.core.replay.checkpoint_reader import CheckpointReader
from knapweeddrum.message.fact.checkpoint_part import CheckpointPart
from knapweeddrum.message.fact.deposit import Deposit
from knapweeddrum.message.fact.fact_codec import encode_batch

check = unittest.TestCase()


def test_records_without_parts_are_not_decoded() -> None:
    """CheckpointReader doesn't decode a record without checkpoint parts.

    The replay decodes each record already, so decoding it again would be wasteful.
    """
    payload = encode_batch("x/keeper/1", 1, (Deposit("t", "b", 1),))
    reader = CheckpointReader()
    with mock.patch.object(checkpoint_reader, "decode_batch") as decode:
        reader.read(0, payload)
    decode.assert_not_called()


def test_a_part_beside_other_facts_is_found() -> None:
    """A record may hold a part and facts of other kinds."""
    part = CheckpointPart("c", covers=0, index=0, count=1, body=b"state")
    payload = encode_batch("x/keeper/1", 2, (Deposit("t", "b", 1), part))
    reader = CheckpointReader()
    reader.read(1, payload)
    newest = reader.newest(0)
    check.assertIsNotNone(newest)
    check.assertEqual(newest and newest.state, b"state")


def test_fact_that_contains_the_part_tag_is_not_a_part() -> None:
    """Callers choose names, so a fact of another type may contain the part tag."""
    payload = encode_batch("x/keeper/1", 1, (Deposit("checkpoint_part", "b", 1),))
    reader = CheckpointReader()
    reader.read(1, payload)
    check.assertIsNone(reader.newest(0))
