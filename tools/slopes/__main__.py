"""Measure the slopes: a JSON line on standard output for each reading and fit.

Names of slopes on the command line select those; without, all are measured.
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
    parser.add_argument("--sizes", type=float, nargs="+", help="instead of their own")
    parser.add_argument("--repeats", type=int, help="runs at each size")
    args = parser.parse_args()
    names = args.names
    slopes = {slope.name: slope for slope in all_slopes()}
    unknown = [name for name in names if name not in slopes]
    if unknown:
        parser.error(f"no slope {unknown}; there are {sorted(slopes)}")
    runner = Runner(sys.stdout)
    for name in names or slopes:
        slope = slopes[name]
        sizes = args.sizes or slope.sizes
        runner.run(slope, sizes, args.repeats or slope.repeats)
    return 0


if __name__ == "__main__":
    sys.exit(main())
