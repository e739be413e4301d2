"""Runs the test modules in several worker processes."""

from __future__ import annotations

import os
import pathlib
import subprocess
import sys
import tempfile
from concurrent.futures import Future, ThreadPoolExecutor, as_completed

import msgspec

from tools.free_ports import PORT_SLICE_VARIABLE, PortSlice
from tools.outcomes import Outcomes

ROOT = pathlib.Path(__file__).parent.parent
TESTS = ROOT / "tests"

WORKERS_VARIABLE = "KNAPWEED_TEST_WORKERS"
MAX_WORKERS = 4

LONG_MODULES = (
    "tests.process.entry",
    "tests.failure",
    "tests.core.replay",
    "tests.golden",
    "tests.core.budget",
    "tests.core",
)
"""Prefixes of modules that take long, begun first so that none is waited for alone."""

LONE_MODULES = ("tests.process.entry.test_uncontrolled_clients",)
"""Modules that run after all others, each by itself.

Their crowds of clients take the processors from other tests, and the other way round.
"""


def worker_count() -> int:
    """Return how many workers to use, by the environment or the processors.

    Half of the processors are left to the processes that tests start.
    """
    configured = os.environ.get(WORKERS_VARIABLE)
    if configured is not None:
        return max(1, int(configured))
    return max(1, min(MAX_WORKERS, (os.cpu_count() or 1) // 2))


def all_modules() -> list[str]:
    """Return the names of all test modules, the longest ones first."""
    paths = TESTS.rglob("test_*.py")
    names = [".".join(path.relative_to(ROOT).with_suffix("").parts) for path in paths]
    return sorted(names, key=lambda name: (_urgency(name), name))


def run_modules(modules: list[str], workers: int) -> Outcomes:
    """Run each module in a process of its own and print its output when it ends."""
    total = Outcomes()
    for batch, count in batches(modules, workers):
        total.add(_run_batch(batch, count))
    return total


def batches(modules: list[str], workers: int) -> list[tuple[list[str], int]]:
    """Return the modules to run together, in turn, each with a number of workers."""
    together = [module for module in modules if module not in LONE_MODULES]
    alone = [module for module in modules if module in LONE_MODULES]
    return [(together, workers), (alone, 1)]


def _run_batch(modules: list[str], workers: int) -> Outcomes:
    total = Outcomes()
    slices = [PortSlice(number, workers) for number in range(workers)]
    with ThreadPoolExecutor(workers) as pool:
        pending: list[Future[Outcomes]] = [
            pool.submit(_run_module, module, slices) for module in modules
        ]
        for done in as_completed(pending):
            total.add(done.result())
    return total


def _urgency(module: str) -> int:
    for number, prefix in enumerate(LONG_MODULES):
        if module.startswith(prefix):
            return number
    return len(LONG_MODULES)


def _run_module(module: str, slices: list[PortSlice]) -> Outcomes:
    """Run one module; one that tells no outcomes has failed as a whole."""
    ports = slices.pop()
    try:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "outcomes.json"
            command = [sys.executable, "-m", "tools.run_tests", "--outcomes", str(path)]
            ended = subprocess.run(
                [*command, module],
                cwd=ROOT,
                env={**os.environ, PORT_SLICE_VARIABLE: str(ports)},
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
                check=False,
            )
            sys.stdout.buffer.write(ended.stdout)
            sys.stdout.flush()
            return _outcomes(module, path)
    finally:
        slices.append(ports)


def _outcomes(module: str, path: pathlib.Path) -> Outcomes:
    try:
        outcomes = Outcomes.read(path)
    except (FileNotFoundError, msgspec.MsgspecError) as exc:
        print(f"{module}: no outcomes: {exc}")
        return Outcomes([module], [module])
    if not outcomes.ran:
        print(f"{module}: no test ran")
        return Outcomes([module], [module])
    return outcomes
