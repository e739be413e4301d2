from __future__ import annotations

import json
import os

from knapweeddrum.telemetry.bounded_writer import (
    BURST_BYTES,
    MAX_BACKLOG_BYTES,
    BoundedWriter,
)
from knapweeddrum.telemetry.event_log import EventLog
from knapweeddrum.telemetry.events import PROCESS_STOPPED
from knapweeddrum.telemetry.line_logger import LineLogger

PIPE_BYTES = 65_536


def test_stalled_reader_does_not_block():
    """Lines are queued up to the backlog limit; the others are dropped and counted."""
    reader, writer_end = os.pipe()
    writer = BoundedWriter(writer_end)
    line = "x" * 999
    count = (PIPE_BYTES + MAX_BACKLOG_BYTES) // 1000 + 50
    for _ in range(count):
        writer.write(line)
    assert 0 < writer.dropped <= 60
    received = b""
    while len(received) < (count - writer.dropped) * 1000:
        received += os.read(reader, PIPE_BYTES)
        writer.flush()
    assert received == (line.encode() + b"\n") * (count - writer.dropped)


def test_lines_beyond_the_burst_are_dropped():
    """Lines beyond the burst size are dropped, even with a fast reader."""
    writer = BoundedWriter(os.open(os.devnull, os.O_WRONLY))
    line = "x" * 9_999
    for _ in range(2 * BURST_BYTES // 10_000):
        writer.write(line)
    assert writer.dropped > 0


def test_events_are_lines_of_json():
    """An event log writes JSON lines through the bounded writer."""
    reader, writer_end = os.pipe()
    log = EventLog("info", LineLogger(BoundedWriter(writer_end)), host="h")
    log.emit(PROCESS_STOPPED, binary="knapweed-entry")
    line = json.loads(os.read(reader, PIPE_BYTES))
    assert (line["number"], line["host"]) == (101, "h")
