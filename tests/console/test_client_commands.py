from __future__ import annotations

import argparse
import contextlib
import io
import json
import pathlib
import tempfile
import unittest.mock

from nose2.tools import params

from knapweeddrum.console import control_client
from knapweeddrum.console.application import COMMANDS, Application
from knapweeddrum.console.command_context import CommandContext
from knapweeddrum.console.commands.watch_command import WatchCommand
from knapweeddrum.console.exit_code import ExitCode
from knapweeddrum.console.output_format import OutputFormat
from knapweeddrum.console.printer import Printer
from tests.console.command_result import CommandResult
from tests.console.control_server import ControlServer

UNREACHABLE_URL = "http://127.0.0.1:1"

RESOURCES = """[ // what the test declares
  {kind: "organisation", name: "mill", spec: {key_digests: []}},
  {kind: "budget", name: "mill/main", spec: {organisation: "mill"}},
]"""


def run(*argv: str) -> CommandResult:
    """Run a command line and return its exit code and output."""
    out, err = io.StringIO(), io.StringIO()
    with (
        contextlib.redirect_stdout(out),
        contextlib.redirect_stderr(err),
        unittest.mock.patch.object(control_client, "ROUND_PAUSE_SECONDS", 0.0),
    ):
        try:
            code = Application().run(argv)
        except SystemExit as exc:
            code = exc.code
    return CommandResult(code, out.getvalue(), err.getvalue())


@contextlib.contextmanager
def resource_file(text: str = RESOURCES):
    with tempfile.TemporaryDirectory() as directory:
        path = pathlib.Path(directory) / "resources.jsonc"
        path.write_text(text, encoding="utf-8")
        yield str(path)


def test_apply_declares_and_replaces():
    """Apply reads the current version and replaces it; get shows the result."""
    with ControlServer().running() as server, resource_file() as path:
        options = ("--server", server.url, "--output", "json")
        assert run(*options, "apply", path).code == ExitCode.OK
        again = run(*options, "apply", path)
        versions = [json.loads(line)["version"] for line in again.out.splitlines()]
        assert versions == [2, 2]
        got = run(*options, "get", "budget", "mill/main")
        assert json.loads(got.out)["spec"]["organisation"] == "mill"
        assert run(*options, "get", "budget", "mill/x").code == ExitCode.NOT_FOUND
        table = run("--server", server.url, "get", "budget")
        assert table.out.splitlines()[0].split() == [
            "KIND",
            "NAME",
            "VERSION",
            "OFFSET",
            "SPEC",
        ]


def test_stale_base_version_exits_with_conflict():
    """Apply and delete with a stale base version exit with 3."""
    organisation = '{kind: "organisation", name: "mill", spec: {key_digests: []}}'
    with ControlServer().running() as server, resource_file(organisation) as path:
        options = ("--server", server.url)
        base = (*options, "apply", "--base-version", "0", path)
        assert run(*base).code == ExitCode.OK
        assert run(*base).code == ExitCode.CONFLICT
        stale = (*options, "delete", "organisation", "mill", "--base-version", "7")
        assert run(*stale).code == ExitCode.CONFLICT
        assert run(*options, "delete", "organisation", "mill").code == ExitCode.OK


def test_top_up_with_a_lost_reply_is_deposited_once():
    """A top-up whose reply is lost is repeated with its identifier, deposited once."""
    with ControlServer().running() as server, resource_file() as path:
        options = ("--server", server.url, "--output", "json")
        run(*options, "apply", path)
        server.bench.keeper.lose_next_reply = True
        done = run(*options, "top-up", "mill/main", "500")
        assert done.code == ExitCode.OK
        assert json.loads(done.out)["repeated"]
        assert server.bench.keeper.balances == {"mill/main": 500}
        listed = json.loads(run(*options, "budgets", "mill/").out)
        assert listed["budgets"][0]["deposited"] == 500


def test_top_up_of_unknown_outcome_prints_its_identifier():
    """A top-up whose outcome stays unknown exits with 7 and prints its identifier."""
    with ControlServer().running() as server, resource_file() as path:
        run("--server", server.url, "apply", path)
        server.bench.keeper.log_unavailable = True
        failed = run("--server", server.url, "top-up", "mill/main", "5")
        assert failed.code == ExitCode.UNKNOWN
        topup_id = failed.err.split("--topup-id ")[1].strip()
        server.bench.keeper.log_unavailable = False
        again = ("top-up", "mill/main", "5", "--topup-id", topup_id)
        assert run("--server", server.url, *again).code == ExitCode.OK


def test_next_server_is_tried():
    """An unreachable server is skipped; if all are unreachable, the exit code is 4."""
    with ControlServer().running() as server:
        both = ("--server", UNREACHABLE_URL, "--server", server.url, "--output", "json")
        assert json.loads(run(*both, "entry").out)["hosts"][0]["host"] == "h1"
        assert json.loads(run(*both, "status").out)["converged"]
        drained = json.loads(run(*both, "drain", "h1").out)
        assert drained == {"host": "h1", "draining": True}
        with unittest.mock.patch.dict("os.environ", {"KNAPWEED_SERVER": server.url}):
            assert run("entry").code == ExitCode.OK
    assert run("--server", UNREACHABLE_URL, "entry").code == ExitCode.UNAVAILABLE


class StoppingPrinter(Printer):
    """Ends the server's streams after the first line."""

    def __init__(self, stream: io.StringIO, server: ControlServer) -> None:
        super().__init__(stream, OutputFormat.JSON)
        self._server = server

    def line(self, text: str) -> None:
        super().line(text)
        self._server.stop_streams()


def test_watch_shows_each_change():
    """Watch writes a line for each change of the kind, after the given offset."""
    out = io.StringIO()
    with ControlServer().running() as server, resource_file() as path:
        run("--server", server.url, "apply", path)
        client = control_client.ControlClient([server.url], 20.0, "")
        context = CommandContext(client, StoppingPrinter(out, server), "", 1.0)
        args = argparse.Namespace(after="0", kind="budget", once=True)
        WatchCommand().handle(args, context)
    name, _, data = out.getvalue().partition(" ")
    assert (name, json.loads(data)["name"]) == ("change", "mill/main")


@params(
    ("--server", "ftp://x", "entry"),
    ("--server", "http://example.org:1", "entry"),
    ("--timeout", "0", "entry"),
    ("get", "printer"),
    ("top-up", "mill/main", "-5"),
    ("top-up", "mill/main", "9" * 5000),
    ("apply", "/nowhere.jsonc"),
    ("check", "/nowhere.jsonc"),
    (),
)
def test_wrong_usage_exits_with_2(*argv):
    """Wrong arguments and unreadable files exit with 2 and say why."""
    result = run(*argv)
    assert result.code == ExitCode.USAGE
    assert result.err


def test_error_names_the_invalid_resource_file():
    """The error names a file that is not JSON or does not hold resources."""
    for text in ("[{", '[{"kind": "route"}]', '[{"kind": 1, "name": "x"}]'):
        with resource_file(text) as path:
            result = run("--server", UNREACHABLE_URL, "apply", path)
        assert result.code == ExitCode.USAGE
        assert path in result.err


def test_invalid_resource_names_the_field():
    """An invalid field is shown with its value, and the exit code is 6."""
    text = '{kind: "organisation", name: "mill", spec: {key_digests: [], weight: -3}}'
    with ControlServer().running() as server, resource_file(text) as path:
        result = run("--server", server.url, "apply", path)
    assert result.code == ExitCode.INVALID
    assert "spec.weight: got -3, allowed:" in result.err


def test_help_names_commands_and_exit_codes():
    """The help lists each command with an example, and each exit code."""
    text = run("--help").out
    for command in COMMANDS:
        assert f"\n    {command.name} " in text
        assert command.examples
        assert command.examples[0] in run(command.name, "--help").out
    for code in ExitCode:
        assert f"\n  {code.value}  " in text
