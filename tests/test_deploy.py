from __future__ import annotations

import pathlib
import tomllib

ROOT = pathlib.Path(__file__).parent.parent


def pins(path: str) -> set[str]:
    return set((ROOT / path).read_text(encoding="utf-8").split())


def test_deployed_versions_are_tested():
    """Each package version pinned for deployment is also pinned for the tests."""
    assert pins("deploy/requirements.txt") <= pins("requirements.txt")


def test_roles_serve_callers_and_the_directory():
    """The entry role serves callers and the directory, and its program exists."""
    document = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
    role = document["roles"]["entry"]
    assert set(role["serves"]) == {"front", "directory"}
    assert (ROOT / role["run"].split()[1]).exists()
    assert "deploy/requirements.txt" in document["build"]
