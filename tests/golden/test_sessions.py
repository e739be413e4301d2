from __future__ import annotations

import difflib
import os
import pathlib

from tests.fleet.fleet_bench import fleet_bench
from tests.golden.sessions import SESSIONS
from tests.golden.transcript import Transcript

FILES = pathlib.Path(__file__).parent / "files"
RENEW_VARIABLE = "KNAPWEED_RENEW_GOLDEN"


def compare(name: str, text: str) -> str:
    """Return the diff of a golden file and a transcript.

    Rewrites the golden file first if the variable KNAPWEED_RENEW_GOLDEN is set.
    """
    path = FILES / f"{name}.txt"
    if os.environ.get(RENEW_VARIABLE):
        path.write_text(text, encoding="utf-8")
    golden = path.read_text(encoding="utf-8") if path.exists() else ""
    lines = difflib.unified_diff(
        golden.splitlines(), text.splitlines(), path.name, "this run", lineterm=""
    )
    return "\n".join(lines)


def test_sessions_equal_their_golden_files():
    """Each session with a fleet of real processes gives its recorded transcript."""
    differences = []
    budgets = tuple(session.__name__ for session in SESSIONS)
    with fleet_bench(budgets) as bench:
        for session in SESSIONS:
            transcript = Transcript(bench, session.__name__)
            session(bench, transcript)
            differences.append(compare(session.__name__, transcript.text()))
    assert not any(differences), "\n".join(differences)
