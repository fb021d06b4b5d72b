"""Measures the slopes behind docs/CAPACITY.md: ``make capacity``.

One part alone: ``python -m bench.capacity --part members``.
"""

from __future__ import annotations

import json
import pathlib
import sys
from typing import Any

import cyclopts

from bench import capacityconfig, capacityfleet, capacitymembers

app = cyclopts.App(name="capacity")
PARTS = ("config", "members", "fleet")


def show(name: str, rows: list[dict[str, Any]]) -> None:
    """Print rows as a table, one measure a line."""
    print(f"\n{name}")
    for field in {field: None for row in rows for field in row}:
        cells = [row.get(field, "") for row in rows]
        texts = [f"{c:.2f}" if isinstance(c, float) else str(c) for c in cells]
        print(f"  {field:34}" + "".join(f"{text:>12}" for text in texts), flush=True)


@app.default
def run(
    *,
    part: list[str] | None = None,
    members: tuple[int, ...] = (50, 100, 200, 350),
    changes_up_to: int = 100,
    out: pathlib.Path | None = None,
) -> int:
    """Measure and print the slopes.

    Parameters
    ----------
    part:
        Which parts to measure: config, members, fleet; all by default.
    members:
        The numbers of members in one process.
    changes_up_to:
        Change the configuration and restart a third up to this number of members;
        above it one process is too small for the work of all.
    out:
        A file for the rows as JSON.
    """
    wanted = part or list(PARTS)
    if not set(wanted) <= set(PARTS):
        print(f"capacity: part: allowed are {', '.join(PARTS)}", file=sys.stderr)
        return 2
    found: dict[str, list[dict[str, Any]]] = {}
    if "config" in wanted:
        found.update(capacityconfig.run())
    if "members" in wanted:
        found["members"] = capacitymembers.run(members, changes_up_to)
    if "fleet" in wanted:
        found.update(capacityfleet.run((3, 6, 9), (2, 6, 12), (20, 40, 80)))
    for name, rows in found.items():
        show(name, rows)
    if out is not None:
        out.write_text(json.dumps(found, indent=1) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(app())
