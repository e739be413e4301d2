from __future__ import annotations

import json

from knapweeddrum.platform.configuration_check import check_configuration
from tests.process.entry.entry_harness import configuration


def lines_of(document: dict[str, object]) -> str:
    return json.dumps(document, indent=2)


def line_with(text: str, words: str) -> int:
    """Return the number of the first line that holds the words."""
    return next(n for n, line in enumerate(text.splitlines(), 1) if words in line)


def test_valid_configuration_has_no_fault():
    """The configuration that the entry process tests use is valid."""
    assert check_configuration(lines_of(configuration()).encode()) == []


def test_value_of_a_wrong_type_is_named_with_its_line():
    """The fault has the line of the value and names its field."""
    document = configuration()
    document["routes"][2]["timeoutMs"] = "soon"
    text = lines_of(document)
    (fault,) = check_configuration(text.encode())
    assert fault.line == line_with(text, '"soon"')
    assert "timeoutMs" in fault.message


def test_text_that_is_no_json_is_located():
    """A syntax error has a line; text that is not UTF-8 is a fault of line 1."""
    text = lines_of(configuration()).replace('"kind"', '"kind', 1)
    (fault,) = check_configuration(text.encode())
    assert fault.line >= line_with(text, '"kind')
    assert check_configuration(b"\xff\xfe")[0].line == 1


def test_contradictions_are_found_with_their_lines():
    """Undeclared services, prefixes without slashes, duplicate keys and routes."""
    document = configuration()
    document["routes"][0]["service"] = "nowhere"
    document["routes"][1]["pathPrefix"] = "/query"
    document["routes"][3]["pathPrefix"] = document["routes"][2]["pathPrefix"]
    document["tenants"].append({"name": "other", "apiKeys": ["key-of-mill"]})
    text = lines_of(document)
    faults = check_configuration(text.encode())
    assert [fault.line for fault in faults] == sorted(fault.line for fault in faults)
    messages = " | ".join(fault.message for fault in faults)
    for words in ("nowhere", "slash", "another route", "also a key of mill"):
        assert words in messages
    (slash,) = [fault for fault in faults if "slash" in fault.message]
    assert slash.line == line_with(text, '"pathPrefix": "/query"')
