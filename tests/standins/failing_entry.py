"""Runs an entry process in which one record ends the reader of crash records."""

from __future__ import annotations

import pathlib
import runpy
import signal
import sys

signal.signal(signal.SIGHUP, signal.SIG_IGN)

from knapweeddrum.platform.keyed_record import KeyedRecord  # noqa: E402
from knapweeddrum.process.entry.crash_record_reader import (  # noqa: E402
    CrashRecordReader,
)

FATAL_KEY = "fatal"
RUN_ENTRY = pathlib.Path(__file__).parents[2] / "src" / "run_entry.py"

_apply = CrashRecordReader._apply


def _apply_or_fail(reader: CrashRecordReader, record: KeyedRecord) -> None:
    if record.key == FATAL_KEY:
        raise ZeroDivisionError("a fault of this reader")
    _apply(reader, record)


if __name__ == "__main__":
    CrashRecordReader._apply = _apply_or_fail  # type: ignore[method-assign]
    sys.argv[0] = str(RUN_ENTRY)
    runpy.run_path(str(RUN_ENTRY), run_name="__main__")
