"""Reads settings files, which are JSON with comments."""

from __future__ import annotations

import pathlib

import json5
import pydantic
import pydantic_core

from knapweeddrum.settings.exceptions import SettingsError
from knapweeddrum.settings.settings import Settings

SECRET_SECTIONS = frozenset({"fleet"})
"""Sections whose values never appear in an error message."""
UNKNOWN_FIELD = "extra_forbidden"
"""pydantic's error type for a field that the model doesn't have."""
MISSING_FIELD = "missing"
"""pydantic's error type for a required field that is missing."""
MAX_SHOWN_VALUE_CHARS = 200
"""Characters of an invalid value that an error message shows at most."""


def read_settings(path: pathlib.Path) -> Settings:
    """Return the validated settings of a file.

    Raises SettingsError, which names the file and, for each invalid field, the field,
    its value and what is allowed. Secrets are left out.
    """
    try:
        document = json5.loads(path.read_text(encoding="utf-8"))
    except OSError as exc:
        raise SettingsError(f"{path}: {exc.strerror}") from exc
    except (ValueError, RecursionError) as exc:
        raise SettingsError(f"{path}: not JSON with comments: {exc}") from exc
    try:
        return Settings.model_validate(document)
    except pydantic.ValidationError as exc:
        raise SettingsError(_describe(path, exc)) from exc


def _describe(path: pathlib.Path, exc: pydantic.ValidationError) -> str:
    """Return one line for each invalid field."""
    lines = []
    for error in exc.errors():
        field = ".".join(str(part) for part in error["loc"]) or "(whole file)"
        allowed = error["msg"].removeprefix("Value error, ")
        lines.append(f"{path}: {field}: got {_shown_value(error)}, allowed: {allowed}")
    return "\n".join(lines)


def _shown_value(error: pydantic_core.ErrorDetails) -> str:
    """Return the invalid value, or only its type if it may contain a secret."""
    if error["type"] == MISSING_FIELD:
        return "nothing"
    value = error["input"]
    is_plain = isinstance(value, int | float | str | None)
    is_known = error["type"] != UNKNOWN_FIELD and error["loc"]
    if is_plain and is_known and error["loc"][0] not in SECRET_SECTIONS:
        return repr(value)[:MAX_SHOWN_VALUE_CHARS]
    return f"a value of type {type(value).__name__}"
