from __future__ import annotations

import contextlib
import io
import os
import pathlib
import subprocess
import sys
import tempfile

from tools.free_ports import FIRST_PORT, LAST_PORT, PortSlice
from tools.outcomes import Outcomes
from tools.parallel_tests import LONE_MODULES, ROOT, all_modules, batches
from tools.run_tests import report

FAILING_MODULE = """
def test_passes():
    pass


def test_fails():
    assert False
"""
ENDING_MODULE = "import os\n\nos._exit(0)\n"


@contextlib.contextmanager
def written_module(text: str):
    """Write a test module below the working directory and yield its dotted name."""
    with tempfile.TemporaryDirectory(dir=ROOT / "tests", prefix="written_") as folder:
        path = pathlib.Path(folder) / "test_written.py"
        (path.parent / "__init__.py").touch()
        path.write_text(text, encoding="utf-8")
        yield f"tests.{path.parent.name}.test_written"


def run_quietly(names: list[str], workers: int = 2) -> Outcomes:
    with tempfile.TemporaryFile("w+b") as sink:
        command = [sys.executable, "-c", RUN_AND_REPORT, str(workers), *names]
        env = {**os.environ, "PYTHONPATH": str(ROOT)}
        ended = subprocess.run(
            command, cwd=ROOT, env=env, stdout=subprocess.PIPE, stderr=sink, check=True
        )
    lines = ended.stdout.decode().splitlines()
    ran, broken = lines[-2:]
    return Outcomes(ran.split(), broken.split())


RUN_AND_REPORT = """
import sys
from tools.parallel_tests import run_modules
outcomes = run_modules(sys.argv[2:], int(sys.argv[1]))
print(*outcomes.ran)
print(*outcomes.broken)
"""


def test_all_modules_are_run_once():
    """Each test file is a module of its own in the list."""
    modules = all_modules()
    files = list((ROOT / "tests").rglob("test_*.py"))
    assert len(modules) == len(set(modules)) == len(files)
    assert "tests.tools.test_run_tests" in modules


def test_failures_of_workers_are_counted():
    """Outcomes of several workers are added up."""
    with (
        written_module(FAILING_MODULE) as first,
        written_module(FAILING_MODULE) as second,
    ):
        outcomes = run_quietly([first, second])
        assert len(outcomes.ran) == 4
        assert sorted(outcomes.broken) == sorted(
            [f"{first}.test_fails", f"{second}.test_fails"]
        )


def test_module_that_tells_no_outcome_has_failed():
    """A worker that ends early, or a module without tests, is never passed over."""
    with written_module(ENDING_MODULE) as ending, written_module("") as empty:
        outcomes = run_quietly([ending, empty])
        assert sorted(outcomes.broken) == sorted([ending, empty])


def test_failed_tests_are_named_and_fail_the_run():
    """The last line counts what passed and what failed."""
    printed = io.StringIO()
    outcomes = Outcomes(["a", "b"], ["b"], {"a": 0.5, "b": 2.0})
    with contextlib.redirect_stdout(printed):
        assert report(outcomes) == 1
        assert report(Outcomes()) == 5
    lines = printed.getvalue().splitlines()
    assert lines[-2] == "1 passed, 1 failed"
    assert "failed: b" in lines


def test_workers_draw_ports_from_different_slices():
    """No port belongs to two slices."""
    drawn = [{PortSlice(number, 3).draw() for _ in range(500)} for number in range(3)]
    assert not drawn[0] & drawn[1]
    assert not drawn[1] & drawn[2]
    assert all(FIRST_PORT <= port < LAST_PORT for port in set.union(*drawn))
    assert str(PortSlice.parse("1/3")) == "1/3"


def test_modules_with_crowds_do_not_run_beside_others():
    """Beside them, other tests and theirs would fail for want of processor time."""
    lone = LONE_MODULES[0]
    together, alone = batches([lone, "tests.a", "tests.b"], 4)
    assert together == (["tests.a", "tests.b"], 4)
    assert alone == ([lone], 1)
