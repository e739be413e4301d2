"""Finds the line of a value or an error in a JSON text."""

from __future__ import annotations

import json
import re

PATH_STEP = re.compile(r"\.([A-Za-z_]\w*)|\[(\d+)\]")
BYTE_OFFSET = re.compile(r"\(byte (\d+)\)")
WHITESPACE = " \t\r\n"
NEWLINE = "\n"


def line_of_path(text: str, path: str) -> int:
    """Return the line of the value at ``path``, such as ``$.routes[3].kind``.

    If the path does not exist, return the line of the innermost value on the path
    that does. The text must be valid JSON.
    """
    position = _skip_whitespace(text, 0)
    for name, index in PATH_STEP.findall(path):
        found = (
            _find_member(text, position, name)
            if name
            else _find_item(text, position, index)
        )
        if found is None:
            break
        position = found
    return _line_at(text, position)


def line_of_error(text: str, message: str) -> int:
    """Return the line of the byte named in a JSON error message, 1 without one."""
    found = BYTE_OFFSET.search(message)
    if found is None:
        return 1
    before = text.encode()[: int(found.group(1))]
    return before.count(NEWLINE.encode()) + 1


def _find_member(text: str, position: int, name: str) -> int | None:
    if text[position] != "{":
        return None
    position = _skip_whitespace(text, position + 1)
    while text[position] != "}":
        key, end = json.JSONDecoder().raw_decode(text, position)
        value = _skip_whitespace(text, _skip_whitespace(text, end) + 1)
        if key == name:
            return value
        position = _next_element(text, value)
    return None


def _find_item(text: str, position: int, index: str) -> int | None:
    if text[position] != "[":
        return None
    position = _skip_whitespace(text, position + 1)
    for _ in range(int(index)):
        if text[position] == "]":
            return None
        position = _next_element(text, position)
    return position


def _next_element(text: str, value: int) -> int:
    """Return the position of the next element, or of the closing bracket."""
    _, end = json.JSONDecoder().raw_decode(text, value)
    end = _skip_whitespace(text, end)
    return _skip_whitespace(text, end + 1) if text[end] == "," else end


def _skip_whitespace(text: str, position: int) -> int:
    while position < len(text) and text[position] in WHITESPACE:
        position += 1
    return position


def _line_at(text: str, position: int) -> int:
    return text.count(NEWLINE, 0, position) + 1
