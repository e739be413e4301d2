"""Clocks of the machine that outlive its processes."""

from __future__ import annotations

import pathlib
import time

from knapweeddrum.message.call.spending_record import MachineTime

BOOT_ID_PATH = pathlib.Path("/proc/sys/kernel/random/boot_id")


def machine_time() -> MachineTime:
    """Return the present time by the machine's clocks."""
    return MachineTime(_boot_id(), time.clock_gettime(time.CLOCK_BOOTTIME), time.time())


def _boot_id() -> str:
    try:
        return BOOT_ID_PATH.read_text(encoding="ascii").strip()
    except (OSError, ValueError):
        return ""
