"""Run the tests with nose2; the last line printed is ``N passed, N failed``.

A failing test that KNOWN-RED.txt lists is printed but not counted as failed. Each
entry there is one line: the test's dotted name, `` | `` and a note.
"""

from __future__ import annotations

import pathlib
import sys

from nose2.main import PluggableTestProgram

from tools.outcome_plugin import OutcomePlugin

KNOWN_RED_PATH = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"


def known_red() -> dict[str, str]:
    """Return the notes of the tests in KNOWN-RED.txt, by dotted test name."""
    entries = {}
    for line in KNOWN_RED_PATH.read_text(encoding="utf-8").splitlines():
        if not line or line.startswith("#"):
            continue
        name, _, note = line.partition(" | ")
        entries[name.strip()] = note
    return entries


def main() -> int:
    """Run all tests, or the modules named on the command line."""
    # With tests/ as top level, its packages would shadow standard library modules.
    argv = ["nose2", "--verbose", "--top-level-directory", ".", *sys.argv[1:]]
    PluggableTestProgram(module=None, argv=argv, exit=False)
    listed = known_red()
    broken = OutcomePlugin.broken
    red = [name for name in broken if name.partition(":")[0] in listed]
    failed = len(broken) - len(red)
    sys.stdout.flush()
    sys.stderr.flush()
    for name in red:
        print(f"known red: {name} | {listed[name.partition(':')[0]]}")
    print(f"{len(OutcomePlugin.ran) - len(broken)} passed, {failed} failed")
    if not OutcomePlugin.ran:
        return 5
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
