from __future__ import annotations

import pathlib
import shutil
import tempfile
from unittest import mock

from knapweeddrum.telemetry import build_id as build_id_module
from knapweeddrum.telemetry.build_id import PACKAGE, build_id


def id_of(package: pathlib.Path) -> str:
    build_id.cache_clear()
    with mock.patch.object(build_id_module, "PACKAGE", package):
        found = build_id()
    build_id.cache_clear()
    return found


def test_build_differs_if_a_module_does():
    """Hosts of two builds in one fleet could not be told apart by their logs."""
    with tempfile.TemporaryDirectory() as folder:
        copy = pathlib.Path(folder) / "knapweeddrum"
        shutil.copytree(PACKAGE, copy)
        assert id_of(copy) == id_of(PACKAGE)
        (copy / "__pycache__").mkdir(exist_ok=True)
        (copy / "__pycache__" / "other.pyc").write_bytes(b"compiled")
        assert id_of(copy) == id_of(PACKAGE)
        with (copy / "core" / "catalog" / "entry_order.py").open("a") as module:
            module.write("# changed")
        assert id_of(copy) != id_of(PACKAGE)
