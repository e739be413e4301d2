from __future__ import annotations

import unittest
from collections.abc import Callable


def assert_violation_found(search: Callable[[], None]) -> None:
    """Fail unless ``search`` finds its property violated: raises AssertionError."""
    with unittest.TestCase().assertRaises(AssertionError):
        search()
