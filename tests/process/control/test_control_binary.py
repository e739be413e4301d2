from __future__ import annotations

import contextlib
import json
import pathlib
import subprocess
import sys
import tempfile

import anyio
import anyio.to_thread
import httpcore

from knapweeddrum.rpc.fleet_identity import FleetIdentity
from knapweeddrum.rpc.rpc_server import rpc_server
from tests.async_test import async_test
from tests.process.control.control_bench import control_settings
from tests.standins.fake_keeper import FakeKeeper
from tests.standins.fake_keeper_service import FakeKeeperService
from tests.standins.recording_event_log import RecordingEventLog
from tools.free_ports import free_ports

BINARY = str(pathlib.Path(sys.executable).parent / "knapweed-control")
STATUS_POLL_INTERVAL_SECONDS = 0.02


def write_settings(path: pathlib.Path, keeper_port: int, control_port: int) -> None:
    document = control_settings().model_dump(mode="json")
    document["host"] |= {"keeper_port": keeper_port, "control_port": control_port}
    path.write_text(f"// test\n{json.dumps(document)}", encoding="utf-8")


@contextlib.contextmanager
def control_binary(settings_path: pathlib.Path):
    """Run ``knapweed-control``; it is killed if the test leaves it running."""
    process = subprocess.Popen(
        [BINARY, str(settings_path)], stderr=subprocess.PIPE, text=True
    )
    try:
        yield process
    finally:
        if process.poll() is None:
            process.kill()
        process.communicate()


async def status_of(pool: httpcore.AsyncConnectionPool, url: str) -> int:
    """Return the status of a GET, 0 when the connection is refused."""
    try:
        return (await pool.request("GET", url)).status
    except httpcore.ConnectError:
        return 0


async def wait_for_status(
    pool: httpcore.AsyncConnectionPool, url: str, status: int
) -> None:
    while await status_of(pool, url) != status:
        await anyio.sleep(STATUS_POLL_INTERVAL_SECONDS)


@async_test
async def test_binary_waits_serves_and_stops_gracefully():
    """The process answers 503 without a keeper and serves with one.

    On SIGTERM it ends its open streams with an event and exits with 0.
    """
    keeper_port, control_port = free_ports(2)
    base = f"http://127.0.0.1:{control_port}"
    identity = FleetIdentity("test", "0123456789abcdef")
    service = FakeKeeperService(FakeKeeper())
    with tempfile.TemporaryDirectory() as directory:
        path = pathlib.Path(directory) / "settings.jsonc"
        write_settings(path, keeper_port, control_port)
        with control_binary(path) as process:
            async with httpcore.AsyncConnectionPool() as pool:
                await wait_for_status(pool, f"{base}/v1/status", 503)
                async with rpc_server(
                    service, identity, "127.0.0.1", keeper_port, RecordingEventLog()
                ):
                    await wait_for_status(pool, f"{base}/v1/resources/route", 200)
                    async with pool.stream("GET", f"{base}/v1/watch") as stream:
                        chunks = stream.aiter_stream()
                        await anext(chunks)
                        process.terminate()
                        rest = b"".join([chunk async for chunk in chunks])
                    code = await anyio.to_thread.run_sync(process.wait)
            log = process.stderr.read()
    assert rest.startswith(b"event: end\n")
    assert code == 0
    names = [json.loads(line)["event"] for line in log.splitlines()]
    assert names[0] == "process_started"
    assert names[-1] == "process_stopped"
    assert names.index("waiting") < names.index("dependency_ready")
