from __future__ import annotations

import unittest
from collections.abc import Callable


def assert_violation_found(search: Callable[[], None]) -> None:
    """Fail unless ``search`` raises AssertionError: finds its property violated."""
    with unittest.TestCase().assertRaises(AssertionError):
        search()
