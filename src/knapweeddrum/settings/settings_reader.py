"""Reader of settings files: JSON with comments."""

from __future__ import annotations

import pathlib

import json5
import pydantic

from knapweeddrum.settings.exceptions import SettingsError
from knapweeddrum.settings.settings import Settings


def read_settings(path: pathlib.Path) -> Settings:
    """Return the checked settings of a file.

    Raises SettingsError naming the file, and for each wrong field the field, its
    value and what is allowed.
    """
    try:
        document = json5.loads(path.read_text(encoding="utf-8"))
    except OSError as exc:
        raise SettingsError(f"{path}: {exc.strerror}") from exc
    except ValueError as exc:
        raise SettingsError(f"{path}: not JSON with comments: {exc}") from exc
    try:
        return Settings.model_validate(document)
    except pydantic.ValidationError as exc:
        raise SettingsError(_describe(path, exc)) from exc


def _describe(path: pathlib.Path, exc: pydantic.ValidationError) -> str:
    """Return a line for each wrong field."""
    lines = []
    for error in exc.errors():
        field = ".".join(str(part) for part in error["loc"]) or "(whole file)"
        lines.append(f"{path}: {field}: got {error['input']!r}: {error['msg']}")
    return "\n".join(lines)
