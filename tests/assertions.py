"""Assertions shared by the tests."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator


@contextlib.contextmanager
def raises(expected: type[BaseException]) -> Iterator[list[BaseException]]:
    """Fail unless the body raises exactly ``expected``, not a subclass of it.

    Yields a list to which the exception is added.
    """
    held: list[BaseException] = []
    try:
        yield held
    except expected as exc:
        assert type(exc) is expected, f"{type(exc)} instead of {expected}"
        held.append(exc)
        return
    raise AssertionError(f"{expected.__name__} was not raised")
