from __future__ import annotations

import pathlib

DOCS = pathlib.Path(__file__).parent.parent.parent / "docs"


def table_rows(name: str) -> list[tuple[str, ...]]:
    """Return the cells of each table row of a page in docs, without headings."""
    rows = []
    lines = (DOCS / name).read_text(encoding="utf-8").splitlines()
    for line, following in zip(lines, [*lines[1:], ""], strict=True):
        if (
            line.startswith("|")
            and not is_separator(line)
            and not is_separator(following)
        ):
            rows.append(tuple(cell.strip() for cell in line.strip("|").split("|")))
    return rows


def is_separator(line: str) -> bool:
    """Return whether the line separates a table's heading from its rows."""
    return "-" in line and set(line) <= set("|- ")
