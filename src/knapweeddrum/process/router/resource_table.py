"""The router's view of the configuration in force."""

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
from knapweeddrum.value.resource_kind import ResourceKind

ResourceT = TypeVar("ResourceT", bound=msgspec.Struct)


class ResourceTable:
    """Resources by name, complete up to log offset ``offset`` (-1: none yet)."""

    def __init__(self) -> None:
        self.offset = -1
        self.organisations: dict[str, Organisation] = {}
        self.budgets: dict[str, Budget] = {}
        self.routes: dict[str, Route] = {}
        self.rules: dict[str, Rule] = {}
        self.endpoints: dict[str, Endpoint] = {}

    def apply(self, reply: ConfigReply) -> bool:
        """Take a reply over and return whether it moved the offset.

        A reply older than what is in force changes nothing.
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
    """Put one resource into its table, or take it out.

    A body that this version can't decode takes the resource out: serving by an older
    version of it would revert an accepted change.
    """
    table.pop(record.name, None)
    if record.deleted:
        return
    try:
        table[record.name] = msgspec.json.decode(record.body, type=spec)
    except msgspec.MsgspecError:
        return
