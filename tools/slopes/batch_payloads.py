"""Encoded log records of generated facts."""

from __future__ import annotations

from collections.abc import Iterator

from knapweeddrum.message.fact.fact_codec import encode_batch
from tools.slopes.fact_maker import HOLDER, FactMaker


def batch_payloads(maker: FactMaker, facts: int, batch: int) -> Iterator[bytes]:
    """Yield the payloads of ``facts`` facts, ``batch`` in each record."""
    for sequence, start in enumerate(range(0, facts, batch), start=2):
        numbers = range(start, min(facts, start + batch))
        facts_of_batch = tuple(maker.fact(number) for number in numbers)
        yield encode_batch(HOLDER, sequence, facts_of_batch)


def prerequisite_payload(maker: FactMaker) -> bytes:
    """Return the payload with the facts that the generated ones require."""
    return encode_batch(HOLDER, 1, maker.prerequisites())
