"""Run the tests with nose2; the last line printed is ``N passed, N failed``.

All tests run in several worker processes, those named on the command line in this one.
A failing test that KNOWN-RED.txt lists is printed but not counted as failed. Each
entry there is one line: the test's dotted name, `` | `` and a note.
"""

from __future__ import annotations

import argparse
import pathlib
import sys

from nose2.main import PluggableTestProgram

from tools.outcome_plugin import OutcomePlugin
from tools.outcomes import Outcomes
from tools.parallel_tests import all_modules, run_modules, worker_count

KNOWN_RED_PATH = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"
SLOWEST_SHOWN = 20


def known_red() -> dict[str, str]:
    """Return the notes of the tests in KNOWN-RED.txt, by dotted test name."""
    entries = {}
    for line in KNOWN_RED_PATH.read_text(encoding="utf-8").splitlines():
        if not line or line.startswith("#"):
            continue
        name, _, note = line.partition(" | ")
        entries[name.strip()] = note
    return entries


def run_here(names: list[str]) -> Outcomes:
    """Run the named tests or modules in this process, one after the other."""
    # With tests/ as top level, its packages would shadow standard library modules.
    argv = ["nose2", "--verbose", "--top-level-directory", ".", *names]
    PluggableTestProgram(module=None, argv=argv, exit=False)
    sys.stdout.flush()
    sys.stderr.flush()
    return OutcomePlugin.outcomes


def report(outcomes: Outcomes) -> int:
    """Print the slowest tests, failures and counts; return the exit status."""
    by_time = sorted(outcomes.seconds.items(), key=lambda item: -item[1])
    for name, seconds in by_time[:SLOWEST_SHOWN]:
        print(f"{seconds:8.1f} s  {name}")
    listed = known_red()
    red = [name for name in outcomes.broken if name.partition(":")[0] in listed]
    for name in red:
        print(f"known red: {name} | {listed[name.partition(':')[0]]}")
    failed = [name for name in outcomes.broken if name not in red]
    for name in failed:
        print(f"failed: {name}")
    passed = len(outcomes.ran) - len(outcomes.broken)
    print(f"{passed} passed, {len(failed)} failed")
    if not outcomes.ran:
        return 5
    return 1 if failed else 0


def main() -> int:
    """Run all tests, or the modules named on the command line."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("names", nargs="*", help="dotted names of tests or modules")
    parser.add_argument("--outcomes", type=pathlib.Path, help="write outcomes here")
    args = parser.parse_args()
    if args.names:
        outcomes = run_here(args.names)
    else:
        outcomes = run_modules(all_modules(), worker_count())
    if args.outcomes is None:
        return report(outcomes)
    outcomes.write(args.outcomes)
    return 0


if __name__ == "__main__":
    sys.exit(main())
