"""Decodes the JSON answers of the platform's store."""

from __future__ import annotations

import base64
import dataclasses

import msgspec

from knapweeddrum.platform.keyed_record import KeyedRecord
from knapweeddrum.platform.store_question import StoreReply
from knapweeddrum.value.documents import MalformedDocumentError, decode_json
from knapweeddrum.value.store_position import Offset, store_position


class ListedItem(msgspec.Struct, frozen=True):
    """The newest record of a key; the value is in base64."""

    key: str
    value: str
    offset: Offset


class Listing(msgspec.Struct, frozen=True):
    """One page of the newest records."""

    items: tuple[ListedItem, ...]
    end: Offset
    more: bool = msgspec.field(name="hasMore", default=False)


@dataclasses.dataclass(frozen=True, slots=True)
class ListingPage:
    """A page of a listing, and the era of the store that answered."""

    listing: Listing
    era: int


class Appended(msgspec.Struct, frozen=True):
    """Where the records of an append stand."""

    offset: Offset
    end: Offset


class ConditionFailed(msgspec.Struct, frozen=True):
    """Where the stream ends instead."""

    end: Offset


class Expired(msgspec.Struct, frozen=True):
    """The oldest offset that the stream still has."""

    first: Offset


def end_of_stream(reply: StoreReply) -> int | None:
    """Return where a stream ends by the answer to an append that came too late."""
    try:
        end = decode_json(reply.body, ConditionFailed).end
    except MalformedDocumentError:
        return None
    return store_position(reply.era, end)


def decode_item(item: ListedItem, era: int) -> KeyedRecord:
    """Return the record of an item that was listed in an era."""
    try:
        value = base64.b64decode(item.value, validate=True)
    except ValueError:
        # Keeps the key in the listing, with a value that every codec rejects.
        value = b"\x00"
    return KeyedRecord(item.key, value, store_position(era, item.offset))
