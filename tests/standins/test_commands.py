from __future__ import annotations

import contextlib
import subprocess
import sys
from collections.abc import Iterator

from knapweeddrum.endpoint.exceptions import StreamCutError
from knapweeddrum.endpoint.http_model_engine import HttpModelEngine
from tests.assertions import raises
from tests.async_test import async_test
from tests.endpoint.engine_fixture import collect, model_request
from tests.standins.uvicorn_fault_injector import CRASH_EXIT_CODE

EXIT_TIMEOUT_SECONDS = 30.0


@contextlib.contextmanager
def engine_process() -> Iterator[subprocess.Popen[str]]:
    command = [sys.executable, "-m", "tests.standins.model_engine"]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as process:
        try:
            yield process
        finally:
            process.kill()


@async_test
async def test_crash_ends_the_process_of_a_stand_in():
    """A stand-in that is run as a process prints its URL and exits on a crash."""
    with engine_process() as process:
        url = process.stdout.readline().strip()
        async with HttpModelEngine.connect(url) as engine:
            assert len(await collect(engine.stream(model_request("r")))) == 5
            with raises(StreamCutError):
                await collect(engine.stream(model_request("s", content="CRASH-ENGINE")))
        assert process.wait(EXIT_TIMEOUT_SECONDS) == CRASH_EXIT_CODE
