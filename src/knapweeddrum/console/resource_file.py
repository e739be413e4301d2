"""Reader of resource files: JSON with comments."""

from __future__ import annotations

import pathlib

import json5
import msgspec

from knapweeddrum.console.declared_resource import DeclaredResource
from knapweeddrum.console.exceptions import ConsoleError
from knapweeddrum.console.exit_code import ExitCode


def read_resources(path: pathlib.Path) -> tuple[DeclaredResource, ...]:
    """Return the resources of a file that holds one resource or a list.

    Raises ConsoleError, which names the file and the fault.
    """
    try:
        document = json5.loads(path.read_text(encoding="utf-8"))
    except OSError as exc:
        raise ConsoleError(f"{path}: {exc.strerror}", ExitCode.USAGE) from exc
    except (ValueError, RecursionError) as exc:
        message = f"{path}: not JSON with comments: {exc}"
        raise ConsoleError(message, ExitCode.USAGE) from exc
    listed = document if isinstance(document, list) else [document]
    try:
        return msgspec.convert(listed, type=tuple[DeclaredResource, ...])
    except (msgspec.ValidationError, RecursionError) as exc:
        raise ConsoleError(f"{path}: {exc}", ExitCode.USAGE) from exc
