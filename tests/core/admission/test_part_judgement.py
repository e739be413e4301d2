from __future__ import annotations

from knapweeddrum.core.admission.crash_history import CrashHistory
from knapweeddrum.core.admission.part_judgement import (
    MIN_PART_CRASHES,
    is_part_to_blame,
)
from knapweeddrum.message.call.crash_mark import CrashMark

SAME_WITHIN = float("inf")


def history(count: int, rank: int = 0, first: int = 0) -> CrashHistory:
    """Return a history of crashes, one a second."""
    marks = (CrashMark(f"e{n}", float(n)) for n in range(first + 1, first + count + 1))
    return CrashHistory().joined(marks, 0.0, rank)


def blamed(**histories: CrashHistory) -> set[str]:
    named = {f"part:{name}": known for name, known in histories.items()}
    return {
        name.removeprefix("part:")
        for name in named
        if is_part_to_blame(name, named, SAME_WITHIN)
    }


def test_part_is_blamed_from_the_fifth_crash_on():
    """Fewer may have come from other causes."""
    assert blamed(bad=history(MIN_PART_CRASHES - 1)) == set()
    assert blamed(bad=history(MIN_PART_CRASHES)) == {"bad"}


def test_part_that_rode_along_is_not_blamed():
    """Another part took part in all of its crashes, and in more."""
    assert blamed(bad=history(8, 2), rider=history(6, 3)) == {"bad"}


def test_of_parts_that_were_always_together_the_later_is_blamed():
    """The first one is shared by more sound requests."""
    assert blamed(first=history(6, 1), bad=history(6, 2)) == {"bad"}


def test_part_of_a_crashing_request_is_not_blamed():
    """The request itself explains the crashes."""
    named = {"digest": history(8), "part:a": history(6, 1)}
    assert not is_part_to_blame("part:a", named, SAME_WITHIN)


def test_parts_of_different_crashes_are_blamed_each():
    """Two parts may crash endpoints at the same time."""
    assert blamed(a=history(6, 1), b=history(6, 1, first=20)) == {"a", "b"}
