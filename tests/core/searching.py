from __future__ import annotations

import unittest
from collections.abc import Callable


def assert_violated(search: Callable[[], None]) -> None:
    """Fail unless the search finds a violation of its property."""
    with unittest.TestCase().assertRaises(AssertionError):
        search()
