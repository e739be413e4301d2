"""Encoding of batches and facts as MessagePack."""

from __future__ import annotations

import msgspec

from knapweeddrum.message.exceptions import MessageError
from knapweeddrum.message.fact.any_fact import AnyFact
from knapweeddrum.message.fact.batch import Batch
from knapweeddrum.value.documents import MalformedDocumentError, decode_with

_ENCODER = msgspec.msgpack.Encoder()
_BATCH_DECODER = msgspec.msgpack.Decoder(Batch)
_FACT_DECODER: msgspec.msgpack.Decoder[AnyFact] = msgspec.msgpack.Decoder(AnyFact)


def encode_batch(writer: str, sequence: int, facts: tuple[AnyFact, ...]) -> bytes:
    """Return the record payload for a batch of facts."""
    return assemble_batch(writer, sequence, tuple(encode_fact(fact) for fact in facts))


def encode_fact(fact: AnyFact) -> bytes:
    """Return one encoded fact."""
    return _ENCODER.encode(fact)


def assemble_batch(writer: str, sequence: int, encoded: tuple[bytes, ...]) -> bytes:
    """Return the record payload for facts that are encoded already."""
    facts = tuple(msgspec.Raw(fact) for fact in encoded)
    return _ENCODER.encode(Batch(writer=writer, sequence=sequence, facts=facts))


def decode_batch(payload: bytes) -> Batch:
    """Return the batch of a record.

    Raises MessageError for a payload that is no batch.
    """
    try:
        return decode_with(_BATCH_DECODER.decode, payload)
    except MalformedDocumentError as exc:
        raise MessageError(f"record holds no batch: {exc}") from exc


def decode_fact(raw: msgspec.Raw) -> AnyFact | None:
    """Return the fact, or None for a kind that this version does not know."""
    try:
        return decode_with(_FACT_DECODER.decode, raw)
    except MalformedDocumentError:
        return None
