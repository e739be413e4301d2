from __future__ import annotations

from knapweeddrum.value.whole_number import parse_whole_number


def test_text_that_names_no_whole_number_is_none():
    """Neither signs, nor other digits than the ten, nor thousands of them."""
    for text in ("", "-1", "+1", "1.0", "1_0", "\u00b2", "\u0663", "9" * 16):
        assert parse_whole_number(text) is None
    assert parse_whole_number(" 042 ") == 42
    assert parse_whole_number("9" * 15) == 10**15 - 1
