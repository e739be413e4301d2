"""Era of the platform's store, as its answers tell it."""

from __future__ import annotations

from collections.abc import Callable

from knapweeddrum.http.header_list import HeaderList
from knapweeddrum.platform.exceptions import EraDoubtError
from knapweeddrum.platform.header_names import STORE_ERA

NO_ERA = 0
"""Era of a store that has told none; those of others are counted from 1."""

MAX_ERA_DIGITS = 4


class StoreEra:
    """Knows the newest era; answers of another one are not believed.

    ``on_return`` is called with the era before and the new one, at the first answer
    that tells it.
    """

    def __init__(self) -> None:
        self._known: int | None = None
        self.on_return: Callable[[int, int], None] = _ignore

    @property
    def current(self) -> int:
        """Return the newest era that an answer told."""
        return self._known or NO_ERA

    def accept(self, headers: HeaderList) -> int:
        """Return the era of an answer; raises EraDoubtError."""
        era = self._decode(headers.get_all(STORE_ERA))
        before = self._known
        if before is not None and era < before:
            raise EraDoubtError(f"era {era} after era {before}")
        self._known = era
        if before is not None and era > before:
            self.on_return(before, era)
        return era

    def _decode(self, values: list[bytes]) -> int:
        if not values and self.current == NO_ERA:
            return NO_ERA
        if len(values) != 1:
            raise EraDoubtError(f"{len(values)} eras after era {self.current}")
        value = values[0].strip()
        if not value.isdigit() or len(value) > MAX_ERA_DIGITS:
            raise EraDoubtError(f"era {value[:MAX_ERA_DIGITS]!r} is no number")
        return int(value) + 1


def _ignore(_before: int, _era: int) -> None:
    return None
