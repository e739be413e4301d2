"""Identifiers of process incarnations."""

from __future__ import annotations

import random

from knapweeddrum.value.identifiers import HostName, Incarnation

_TIME_DIGITS = 12
_RANDOM_BITS = 32
_RANDOM_DIGITS = 8


def new_incarnation(
    host: HostName, role: str, unix_ms: int, rng: random.Random, above: str = ""
) -> Incarnation:
    """Return an incarnation that sorts after earlier ones of the same process.

    Its form is ``host/role/start-random``: the start time in Unix milliseconds and a
    random number, both in hexadecimal. ``above`` is an incarnation that the new one
    must sort after; a process whose clock was set back learns it from its peers'
    replies when it starts.
    """
    start_ms = max(unix_ms, _start_ms(above) + 1)
    random_part = rng.getrandbits(_RANDOM_BITS)
    return Incarnation(
        f"{host}/{role}/{start_ms:0{_TIME_DIGITS}x}-{random_part:0{_RANDOM_DIGITS}x}"
    )


def _start_ms(incarnation: str) -> int:
    digits = incarnation.rpartition("/")[2].partition("-")[0]
    try:
        return int(digits, 16)
    except ValueError:
        return -1
