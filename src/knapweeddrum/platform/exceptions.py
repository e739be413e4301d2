"""Errors of the platform layer."""

from __future__ import annotations


class PlatformError(Exception):
    """A service of the platform failed; base class of the errors below."""


class LogUnavailableError(PlatformError):
    """The log or store can't be read, or an append failed without writing anything."""


class AppendUnknownError(PlatformError):
    """An append got no valid reply: the records may or may not have been written."""


class RecordsExpiredError(PlatformError):
    """The requested records have expired; ``first`` is the oldest offset kept."""

    def __init__(self, first: int) -> None:
        super().__init__(f"records before offset {first} have expired")
        self.first = first


class StoreReturnedError(RecordsExpiredError):
    """The store has come back from an older copy since the given position was read."""

    def __init__(self, era: int) -> None:
        super().__init__(0)
        self.era = era


class EraDoubtError(PlatformError):
    """An answer of the store tells no era, a malformed one or an earlier one."""


class ConditionFailedError(PlatformError):
    """The stream did not end at the position that a conditional append expected.

    Nothing was written. ``end`` is where it ended, None if the store did not tell.
    """

    def __init__(self, stream: str, end: int | None = None) -> None:
        super().__init__(stream)
        self.end = end


class SettingsFileError(PlatformError):
    """The platform's settings file is missing or invalid."""


class MalformedRecordError(PlatformError):
    """A record, page or document of the store has an invalid format."""
