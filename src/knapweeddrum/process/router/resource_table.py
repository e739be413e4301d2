"""The configuration in force at this router."""

from __future__ import annotations

from typing import TypeVar

import msgspec

from knapweeddrum.message.call.config_reply import ConfigReply
from knapweeddrum.message.call.resource_record import ResourceRecord
from knapweeddrum.message.resource.budget import Budget
from knapweeddrum.message.resource.endpoint import Endpoint
from knapweeddrum.message.resource.organisation import Organisation
from knapweeddrum.message.resource.route import Route
from knapweeddrum.message.resource.rule import Rule
from knapweeddrum.value.documents import MalformedDocumentError, decode_json
from knapweeddrum.value.resource_kind import ResourceKind

ResourceT = TypeVar("ResourceT", bound=msgspec.Struct)


class ResourceTable:
    """Resources by name, complete up to log offset ``offset`` (-1 before the first)."""

    def __init__(self) -> None:
        self.offset = -1
        self.organisations: dict[str, Organisation] = {}
        self.budgets: dict[str, Budget] = {}
        self.routes: dict[str, Route] = {}
        self.rules: dict[str, Rule] = {}
        self.endpoints: dict[str, Endpoint] = {}

    def apply(self, reply: ConfigReply) -> bool:
        """Apply a reply and return whether it advanced the offset.

        A reply that is not newer than the table changes nothing.
        """
        if reply.offset <= self.offset:
            return False
        if reply.snapshot:
            self._clear()
        for record in reply.resources:
            self._apply_record(record)
        self.offset = reply.offset
        return True

    def _clear(self) -> None:
        for table in (
            self.organisations,
            self.budgets,
            self.routes,
            self.rules,
            self.endpoints,
        ):
            table.clear()

    def _apply_record(self, record: ResourceRecord) -> None:
        kind = record.resource_kind
        if kind == ResourceKind.ORGANISATION:
            _replace(self.organisations, record, Organisation)
        elif kind == ResourceKind.BUDGET:
            _replace(self.budgets, record, Budget)
        elif kind == ResourceKind.ROUTE:
            _replace(self.routes, record, Route)
        elif kind == ResourceKind.RULE:
            _replace(self.rules, record, Rule)
        elif kind == ResourceKind.ENDPOINT:
            _replace(self.endpoints, record, Endpoint)


def _replace(
    table: dict[str, ResourceT], record: ResourceRecord, spec: type[ResourceT]
) -> None:
    """Replace one resource in its table, or remove it.

    A resource with a body that this version cannot decode is removed: using the
    previous body would revert an accepted change.
    """
    table.pop(record.name, None)
    if record.deleted:
        return
    try:
        table[record.name] = decode_json(record.body, spec)
    except MalformedDocumentError:
        return
