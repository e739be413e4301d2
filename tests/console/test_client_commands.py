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
from tests.console.control_server import ServedBench
from tests.console.ran import Ran

NOBODY = "http://127.0.0.1:1"

RESOURCES = """[ // what the test declares
  {kind: "organisation", name: "mill", spec: {key_digests: []}},
  {kind: "budget", name: "mill/main", spec: {organisation: "mill"}},
]"""


def run(*argv: str) -> Ran:
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
    return Ran(code, out.getvalue(), err.getvalue())


@contextlib.contextmanager
def resource_file(text: str = RESOURCES):
    with tempfile.TemporaryDirectory() as directory:
        path = pathlib.Path(directory) / "resources.jsonc"
        path.write_text(text, encoding="utf-8")
        yield str(path)


def test_apply_declares_and_replaces():
    """Apply reads the current version and replaces it; get shows the result."""
    with ServedBench().running() as served, resource_file() as path:
        server = ("--server", served.url, "--output", "json")
        assert run(*server, "apply", path).code == ExitCode.OK
        again = run(*server, "apply", path)
        versions = [json.loads(line)["version"] for line in again.out.splitlines()]
        assert versions == [2, 2]
        got = run(*server, "get", "budget", "mill/main")
        assert json.loads(got.out)["spec"]["organisation"] == "mill"
        assert run(*server, "get", "budget", "mill/x").code == ExitCode.NOT_FOUND
        table = run("--server", served.url, "get", "budget")
        assert table.out.splitlines()[0].split() == [
            "KIND",
            "NAME",
            "VERSION",
            "OFFSET",
            "SPEC",
        ]


def test_exit_code_tells_the_loser_of_a_race():
    """Apply and delete with a stale base version exit with 3."""
    organisation = '{kind: "organisation", name: "mill", spec: {key_digests: []}}'
    with ServedBench().running() as served, resource_file(organisation) as path:
        server = ("--server", served.url)
        base = (*server, "apply", "--base-version", "0", path)
        assert run(*base).code == ExitCode.OK
        assert run(*base).code == ExitCode.CONFLICT
        stale = (*server, "delete", "organisation", "mill", "--base-version", "7")
        assert run(*stale).code == ExitCode.CONFLICT
        assert run(*server, "delete", "organisation", "mill").code == ExitCode.OK


def test_top_up_with_a_lost_reply_is_repeated_once_deposited():
    """A top-up whose reply is lost is repeated with its identifier, deposited once."""
    with ServedBench().running() as served, resource_file() as path:
        server = ("--server", served.url, "--output", "json")
        run(*server, "apply", path)
        served.bench.keeper.lose_next_reply = True
        done = run(*server, "top-up", "mill/main", "500")
        assert done.code == ExitCode.OK
        assert json.loads(done.out)["repeated"]
        assert served.bench.keeper.balances == {"mill/main": 500}
        listed = json.loads(run(*server, "budgets", "mill/").out)
        assert listed["budgets"][0]["deposited"] == 500


def test_unknown_top_up_names_its_identifier():
    """A top-up whose outcome stays unknown exits with 7 and prints its identifier."""
    with ServedBench().running() as served, resource_file() as path:
        run("--server", served.url, "apply", path)
        served.bench.keeper.log_is_out = True
        failed = run("--server", served.url, "top-up", "mill/main", "5")
        assert failed.code == ExitCode.UNKNOWN
        topup_id = failed.err.split("--topup-id ")[1].strip()
        served.bench.keeper.log_is_out = False
        again = ("top-up", "mill/main", "5", "--topup-id", topup_id)
        assert run("--server", served.url, *again).code == ExitCode.OK


def test_next_server_is_tried():
    """An unreachable server is skipped; if all are unreachable, the exit code is 4."""
    with ServedBench().running() as served:
        both = ("--server", NOBODY, "--server", served.url, "--output", "json")
        assert json.loads(run(*both, "entry").out)["hosts"][0]["host"] == "h1"
        assert json.loads(run(*both, "status").out)["converged"]
        drained = json.loads(run(*both, "drain", "h1").out)
        assert drained == {"host": "h1", "draining": True}
        with unittest.mock.patch.dict("os.environ", {"KNAPWEED_SERVER": served.url}):
            assert run("entry").code == ExitCode.OK
    assert run("--server", NOBODY, "entry").code == ExitCode.UNAVAILABLE


class StoppingPrinter(Printer):
    """Ends the server's streams after the first line."""

    def __init__(self, stream: io.StringIO, served: ServedBench) -> None:
        super().__init__(stream, OutputFormat.JSON)
        self._served = served

    def line(self, text: str) -> None:
        super().line(text)
        self._served.stop_streams()


def test_watch_shows_each_change():
    """Watch writes a line for each change of the kind, after the given offset."""
    out = io.StringIO()
    with ServedBench().running() as served, resource_file() as path:
        run("--server", served.url, "apply", path)
        client = control_client.ControlClient([served.url], 20.0, "")
        context = CommandContext(client, StoppingPrinter(out, served), "", 1.0)
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
    ran = run(*argv)
    assert ran.code == ExitCode.USAGE
    assert ran.err


def test_broken_resource_file_is_named():
    """The error names a file that is not JSON or does not hold resources."""
    for text in ("[{", '[{"kind": "route"}]', '[{"kind": 1, "name": "x"}]'):
        with resource_file(text) as path:
            ran = run("--server", NOBODY, "apply", path)
        assert ran.code == ExitCode.USAGE
        assert path in ran.err


def test_invalid_resource_names_the_field():
    """An invalid field is shown with its value, and the exit code is 6."""
    text = '{kind: "organisation", name: "mill", spec: {key_digests: [], weight: -3}}'
    with ServedBench().running() as served, resource_file(text) as path:
        ran = run("--server", served.url, "apply", path)
    assert ran.code == ExitCode.INVALID
    assert "spec.weight: got -3, allowed:" in ran.err


def test_help_names_commands_and_exit_codes():
    """The help lists each command with an example, and each exit code."""
    text = run("--help").out
    for command in COMMANDS:
        assert f"\n    {command.name} " in text
        assert command.examples
        assert command.examples[0] in run(command.name, "--help").out
    for code in ExitCode:
        assert f"\n  {code.value}  " in text
