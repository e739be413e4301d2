from __future__ import annotations

import msgspec

from knapweeddrum.message.fact.deposit import Deposit
from knapweeddrum.message.fact.fact_codec import (
    decode_batch,
    decode_fact,
    encode_batch,
)


def test_batch_keeps_its_facts():
    """A decoded batch holds the facts that were encoded."""
    fact = Deposit(topup_id="t1", budget="mill/main", tokens=5)
    batch = decode_batch(encode_batch("host/keeper/1", 7, (fact,)))
    assert (batch.writer, batch.sequence) == ("host/keeper/1", 7)
    assert [decode_fact(raw) for raw in batch.facts] == [fact]


def test_unknown_fact_is_skipped():
    """A fact of an unknown kind decodes to None."""
    raw = msgspec.Raw(msgspec.msgpack.encode({"kind": "later", "a": 1}))
    assert decode_fact(raw) is None
