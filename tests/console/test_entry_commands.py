from __future__ import annotations

import json
import pathlib
import tempfile

from knapweeddrum.console.exit_code import ExitCode
from tests.console.test_client_commands import UNREACHABLE_URL, run
from tests.process.entry.entry_harness import configuration

FIRST_HOST_LOG = [
    {"event": "request_received", "request": "r1", "timestamp": "2026-01-01T10:00:00Z"},
    {"event": "request_sent", "request": "r2", "timestamp": "2026-01-01T10:00:01Z"},
    {"event": "request_sent", "request": "r1", "timestamp": "2026-01-01T10:00:03Z"},
]
SECOND_HOST_LOG = [
    {
        "event": "request_refused",
        "request": "r1",
        "timestamp": "2026-01-01T10:00:02Z",
        "reason": "budget_unreachable",
        "detail": "",
    },
]


def write_logs(folder: str) -> list[str]:
    """Write the logs of two hosts, each with a first and last line to be skipped.

    The log lines of the second host have a prefix, as a log collector adds it.
    """
    paths = []
    for host, lines, prefix in (
        ("host-1", FIRST_HOST_LOG, ""),
        ("host-2", SECOND_HOST_LOG, "1.5 host-2 "),
    ):
        path = pathlib.Path(folder) / f"{host}.log"
        texts = [
            prefix + json.dumps({**line, "incarnation": f"{host}/entry/1"})
            for line in lines
        ]
        path.write_text("\n".join(["no line of a log", *texts, "{broken"]))
        paths.append(str(path))
    return paths


def test_request_is_followed_through_the_logs_of_several_hosts():
    """Lines are sorted by time and show host, event and non-empty details."""
    with tempfile.TemporaryDirectory() as folder:
        logs = write_logs(folder)
        rows = run("follow", "r1", *logs).out.splitlines()
        assert [row.split()[1:3] for row in rows[1:]] == [
            ["host-1", "request_received"],
            ["host-2", "request_refused"],
            ["host-1", "request_sent"],
        ]
        assert "reason=budget_unreachable" in rows[2]
        assert "detail" not in rows[2]
        documents = run("--output", "json", "follow", "r2", *logs).out.splitlines()
        assert [json.loads(document)["event"] for document in documents] == [
            "request_sent"
        ]
        assert run("follow", "r9", *logs).code == ExitCode.NOT_FOUND
        assert run("follow", "r1", f"{folder}/absent").code == ExitCode.USAGE


def test_check_config_reports_faults_with_lines_and_exit_code():
    """The exit code is 0 for a valid file, 6 for faults, 2 if it can't be read."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "configuration.json"
        path.write_text(json.dumps(configuration(), indent=2))
        assert run("check-config", str(path)).code == ExitCode.OK
        document = configuration()
        document["routes"][0]["service"] = "nowhere"
        path.write_text(json.dumps(document, indent=2))
        faulty = run("--output", "json", "check-config", str(path))
        assert faulty.code == ExitCode.INVALID
        fault = json.loads(faulty.out)
        assert fault["line"] > 1
        assert "nowhere" in fault["message"]
        assert "1 faults" in faulty.err
        path.unlink()
        assert run("check-config", str(path)).code == ExitCode.USAGE


def test_host_that_does_not_answer_is_unavailable():
    """An unreachable host exits with 4, an address that is no URL with 2."""
    assert (
        run("--timeout", "0.2", "host-state", UNREACHABLE_URL).code
        == ExitCode.UNAVAILABLE
    )
    assert run("host-state", "host-1").code == ExitCode.USAGE
