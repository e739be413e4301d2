"""Measure allocation strategies, bookings and routing against their baselines.

Prints a JSON line for each scenario, strategy (``way``) and seed. Time is simulated
and seeds are fixed, so the same source tree prints the same lines. Exits with 1 if a
figure that must be 0 is not.
"""

from __future__ import annotations

import sys

from tools.budget_model.measure_bookings import measure_bookings
from tools.budget_model.measure_budgets import measure_budgets
from tools.measure_routing import measure_routing


def main() -> int:
    """Run all scenarios, or those named on the command line."""
    names = sys.argv[1:]
    passed = [measure_budgets(names), measure_bookings(names)]
    if not names or "routing" in names:
        measure_routing()
    return 0 if all(passed) else 1


if __name__ == "__main__":
    sys.exit(main())
