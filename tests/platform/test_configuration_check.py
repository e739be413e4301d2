from __future__ import annotations

import json

from knapweeddrum.platform.configuration_check import check_configuration
from tests.process.entry.entry_harness import configuration


def to_json(document: dict[str, object]) -> str:
    return json.dumps(document, indent=2)


def line_with(text: str, words: str) -> int:
    """Return the number of the first line that holds the words."""
    return next(n for n, line in enumerate(text.splitlines(), 1) if words in line)


def test_valid_configuration_has_no_fault():
    """The configuration that the entry process tests use is valid."""
    assert check_configuration(to_json(configuration()).encode()) == []


def test_fault_of_a_wrong_type_has_its_field_and_line():
    """The fault has the line of the value and names its field."""
    document = configuration()
    document["routes"][2]["timeoutMs"] = "soon"
    text = to_json(document)
    (fault,) = check_configuration(text.encode())
    assert fault.line == line_with(text, '"soon"')
    assert "timeoutMs" in fault.message


def test_syntax_error_has_its_line():
    """A syntax error has a line; text that is not UTF-8 is a fault of line 1."""
    text = to_json(configuration()).replace('"kind"', '"kind', 1)
    (fault,) = check_configuration(text.encode())
    assert fault.line >= line_with(text, '"kind')
    assert check_configuration(b"\xff\xfe")[0].line == 1


def test_inconsistencies_have_their_lines():
    """Undeclared services, prefixes without slashes, duplicate keys and routes."""
    document = configuration()
    document["routes"][0]["service"] = "nowhere"
    document["routes"][1]["pathPrefix"] = "/query"
    document["routes"][3]["pathPrefix"] = document["routes"][2]["pathPrefix"]
    document["tenants"].append({"name": "other", "apiKeys": ["key-of-mill"]})
    text = to_json(document)
    faults = check_configuration(text.encode())
    assert [fault.line for fault in faults] == sorted(fault.line for fault in faults)
    messages = " | ".join(fault.message for fault in faults)
    for words in ("nowhere", "slash", "another route", "also a key of mill"):
        assert words in messages
    (slash,) = [fault for fault in faults if "slash" in fault.message]
    assert slash.line == line_with(text, '"pathPrefix": "/query"')
