"""Measure cost slopes; prints a JSON line for each reading and fit.

Names on the command line select slopes; without names, all are measured.
"""

from __future__ import annotations

import argparse
import sys

from tools.slopes.catalogue import all_slopes
from tools.slopes.runner import Runner


def main() -> int:
    """Measure the selected slopes."""
    parser = argparse.ArgumentParser(prog="tools.slopes", description=__doc__)
    parser.add_argument("names", nargs="*", help="slopes to measure")
    parser.add_argument(
        "--sizes",
        type=float,
        nargs="+",
        help="sizes to measure instead of each slope's own",
    )
    parser.add_argument("--repeats", type=int, help="number of runs at each size")
    args = parser.parse_args()
    names = args.names
    slopes = {slope.name: slope for slope in all_slopes()}
    unknown = [name for name in names if name not in slopes]
    if unknown:
        parser.error(f"unknown slopes {unknown}; choose from {sorted(slopes)}")
    runner = Runner(sys.stdout)
    for name in names or slopes:
        slope = slopes[name]
        sizes = args.sizes or slope.sizes
        runner.run(slope, sizes, args.repeats or slope.repeats)
    return 0


if __name__ == "__main__":
    sys.exit(main())
