"""Output of commands."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TextIO

import msgspec

from knapweeddrum.console.output_format import OutputFormat
from knapweeddrum.console.table import Table

COLUMN_GAP = "  "


class Printer:
    """Writes documents as JSON, or as a table for people."""

    def __init__(self, stream: TextIO, output: OutputFormat) -> None:
        self._stream = stream
        self._output = output

    def document(self, document: msgspec.Struct, *tables: Table) -> None:
        """Write the document, or the tables that show it."""
        self.documents((document,), *tables)

    def documents(self, documents: Sequence[msgspec.Struct], *tables: Table) -> None:
        """Write the documents, or the tables that show them all."""
        if self._output is OutputFormat.TABLE:
            for number, table in enumerate(tables):
                if number:
                    self.line("")
                self._table(table)
            return
        for document in documents:
            self.line(msgspec.json.encode(document).decode())

    def line(self, text: str) -> None:
        """Write a line and flush it."""
        self._stream.write(text + "\n")
        self._stream.flush()

    def _table(self, table: Table) -> None:
        rows = [table.heading, *table.rows]
        widths = [
            max(len(cell) for cell in column) for column in zip(*rows, strict=True)
        ]
        for row in rows:
            self.line(_join_cells(row, widths))


def _join_cells(row: Sequence[str], widths: Sequence[int]) -> str:
    cells = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
    return COLUMN_GAP.join(cells).rstrip()
