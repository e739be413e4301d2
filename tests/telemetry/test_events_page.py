from __future__ import annotations

import collections
import pathlib
import re

from knapweeddrum import telemetry
from knapweeddrum.telemetry import entry_events, events, service_list_events
from knapweeddrum.telemetry.event import Event
from tests.telemetry.catalogue import table_rows

SOURCES = pathlib.Path(telemetry.__file__).parent.parent
MODULES = (events, entry_events, service_list_events)
CATALOGUE = tuple(pathlib.Path(str(module.__file__)) for module in MODULES)


def declared() -> dict[str, Event]:
    """Return the events of the catalogue by the names of their constants."""
    members = [member for module in MODULES for member in vars(module).items()]
    return {name: item for name, item in members if isinstance(item, Event)}


def test_page_describes_each_event_once():
    """docs/EVENTS.md has one row for each event, with its number, level and fields."""
    in_code = [
        (str(event.number), event.name, event.level, ", ".join(event.fields))
        for event in declared().values()
    ]
    rows = table_rows("EVENTS.md")
    on_page = [
        (number, name, level, fields) for number, name, level, fields, *_ in rows
    ]
    on_page = [tuple(cell.replace("`", "") for cell in row) for row in on_page]
    assert sorted(on_page) == sorted(in_code)
    for row in rows:
        meaning, action = row[4:]
        assert meaning
        assert action


def test_numbers_and_names_are_unique():
    """No two events share a number or a name."""
    for values in (
        [event.number for event in declared().values()],
        [event.name for event in declared().values()],
    ):
        assert max(collections.Counter(values).values()) == 1
    source = "".join(path.read_text(encoding="utf-8") for path in CATALOGUE)
    assert len(declared()) == len(re.findall(r"= Event\(", source))


def test_each_event_is_used():
    """Each event of the catalogue is used outside the catalogue."""
    text = "\n".join(
        path.read_text(encoding="utf-8")
        for path in SOURCES.rglob("*.py")
        if path not in CATALOGUE
    )
    unused = [name for name in declared() if not re.search(rf"\b{name}\b", text)]
    assert unused == []
