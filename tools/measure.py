"""Measure allocation ways, bookings and routing against their baselines.

Prints a JSON line for each scenario, way and seed. Time is simulated, seeds are fixed:
the same tree prints the same lines. The exit code is 1 when a figure that must be 0 is
not.
"""

from __future__ import annotations

import sys

from tools.budget_model.measure_budgets import measure_budgets
from tools.measure_routing import measure_routing


def main() -> int:
    """Run all scenarios, or those named on the command line."""
    names = sys.argv[1:]
    is_faultless = measure_budgets(names)
    if not names or "routing" in names:
        measure_routing()
    return 0 if is_faultless else 1


if __name__ == "__main__":
    sys.exit(main())
