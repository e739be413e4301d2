from __future__ import annotations

import json
import pathlib
import subprocess
import sys
import tempfile

from nose2.tools import params

from knapweeddrum.settings.exceptions import SettingsError
from knapweeddrum.settings.settings_reader import read_settings
from tests.assertions import raises

SECRET = "s3cret-"  # noqa: S105
PEER = {"name": "h2", "region": "r", "data_centre": "d", "address": "127.0.0.2"}


def document() -> dict:
    """Return the smallest valid settings."""
    platform = dict.fromkeys(("log", "host_list"), "http://127.0.0.1:1")
    return {
        "fleet": {"name": "test", "key": "0123456789abcdef"},
        "host": PEER | {"name": "h1", "address": "127.0.0.1"},
        "platform": platform,
    }


def error_of(text: str) -> str:
    """Return the error of a settings file with this text."""
    with tempfile.TemporaryDirectory() as directory:
        path = pathlib.Path(directory) / "settings.jsonc"
        path.write_text(text, encoding="utf-8")
        with raises(SettingsError) as held:
            read_settings(path)
        assert str(path) in str(held[0])
        return str(held[0])


WRONG = (
    ("host", "address", "example.org", "host.address: got 'example.org', allowed:"),
    ("host", "router_port", 0, "host.router_port: got 0, allowed:"),
    ("host", "router_port", 8081, "each address and port must be used once"),
    ("host", "name", "H 1", "host.name: got 'H 1', allowed:"),
    ("platform", "log", "http://log:1", "platform.log: got 'http://log:1', allowed:"),
    ("platform", "lgo", "x", "platform.lgo: got a value of type str, allowed:"),
    ("budgets", "weigh", "both", "budgets.weigh: got 'both', allowed:"),
    ("budgets", "shards", -1, "budgets.shards: got -1, allowed:"),
    ("control", "operator_key_digest", "x", "control.operator_key_digest: got 'x'"),
    ("telemetry", "level", "loud", "telemetry.level: got 'loud', allowed:"),
    ("fleet", "key", SECRET, "fleet.key: got a value of type str, allowed:"),
    ("fleet", "kye", SECRET, "fleet.kye: got a value of type str, allowed:"),
    ("fleet_key", "a", SECRET, "fleet_key: got a value of type dict, allowed:"),
)


@params(*WRONG)
def test_error_names_field_value_and_allowed(section, field, value, expected):
    """An error names the file, the field, its value and what is allowed, no secret."""
    settings = document()
    settings.setdefault(section, {})[field] = value
    error = error_of(json.dumps(settings))
    assert expected in error, error
    assert SECRET not in error


@params(("[]", "(whole file)"), ("{", "not JSON"), ("{}", "fleet: got nothing"))
def test_broken_file_is_described(text, expected):
    """A file that is no settings file at all gives a SettingsError."""
    assert expected in error_of(text)


def test_hosts_are_distinct():
    """Two hosts with the same name are rejected."""
    assert "distinct" in error_of(json.dumps(document() | {"peers": [PEER, PEER]}))


def test_check_option_only_validates():
    """``--check`` only validates the file: exit code 0 if valid, 2 if invalid."""
    binary = str(pathlib.Path(sys.executable).parent / "knapweed-router")
    with tempfile.TemporaryDirectory() as directory:
        path = pathlib.Path(directory) / "settings.jsonc"
        for text, code in ((json.dumps(document()), 0), ("{}", 2)):
            path.write_text(text, encoding="utf-8")
            argv = [binary, "--check", str(path)]
            done = subprocess.run(argv, capture_output=True, check=False)
            assert done.returncode == code
