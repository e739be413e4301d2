from __future__ import annotations

from knapweeddrum.core.routing.endpoint_table import EndpointTable
from knapweeddrum.core.routing.load_sample import LoadSample
from knapweeddrum.value.identifiers import EndpointName

ENDPOINT_NAMES = tuple(
    EndpointName(name) for name in ("desk-1", "desk-2", "desk-3", "desk-4")
)


def new_table(slots: int = 4) -> EndpointTable:
    """Return a table of four endpoints."""
    table = EndpointTable()
    for name in ENDPOINT_NAMES:
        table.configure(name, slots, now=0.0)
    return table


def report(
    table: EndpointTable,
    name: EndpointName,
    load: int,
    at: float,
    leaving: bool = False,
) -> None:
    """Report ``load`` running requests."""
    table.record_load(name, LoadSample(load, 0, 4, at, leaving))
