from __future__ import annotations

from nose2.tools import params

from knapweeddrum.platform.json_location import line_of_error, line_of_path

TEXT = """{
  "routes": [
    {"name": "a, ]}"},
    {
      "name": "b",
      "kind": "safe"
    }
  ],
  "limits": {}
}"""


@params(
    ("$", 1),
    ("$.routes", 2),
    ("$.routes[0].name", 3),
    ("$.routes[1]", 4),
    ("$.routes[1].kind", 6),
    ("$.routes[1].missing", 4),
    ("$.routes[7]", 2),
    ("$.limits", 9),
    ("$.limits.idle", 9),
)
def test_line_of_a_value_is_found(path, line):
    """A missing value has the line of the innermost existing value on its path."""
    assert line_of_path(TEXT, path) == line


def test_line_of_a_syntax_error_is_found():
    """The line is that of the byte in the message, 1 if the message names no byte."""
    message = "JSON is malformed: invalid character (byte 30)"
    assert line_of_error(TEXT, message) == 3
    assert line_of_error(TEXT, "no such byte") == 1
