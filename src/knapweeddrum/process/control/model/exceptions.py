"""Errors of the models."""

from __future__ import annotations

from knapweeddrum.process.control.field_error import FieldError


class InvalidDocumentError(Exception):
    """A document with invalid fields."""

    def __init__(self, errors: tuple[FieldError, ...]) -> None:
        super().__init__("; ".join(f"{item.field}: {item.allowed}" for item in errors))
        self.errors = errors
