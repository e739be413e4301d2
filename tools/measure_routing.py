"""Measure routing, admission, retries and the crash register against baselines.

Prints a JSON line for each scenario, way and seed. Time is simulated, seeds are fixed:
the same tree prints the same lines.
"""

from __future__ import annotations

import sys

from tools.routing_model.crash_scenario import crash_rows
from tools.routing_model.fairness_scenario import fairness_rows
from tools.routing_model.load_scenario import load_rows
from tools.routing_model.membership_scenario import membership_rows
from tools.routing_model.retry_scenario import retry_rows
from tools.routing_model.row import print_row

SCENARIOS = {
    "load": load_rows,
    "fairness": fairness_rows,
    "retry": retry_rows,
    "crash": crash_rows,
    "membership": membership_rows,
}


def main() -> int:
    """Run all scenarios, or those named on the command line."""
    for name in sys.argv[1:] or SCENARIOS:
        for row in SCENARIOS[name]():
            print_row(row)
    return 0


if __name__ == "__main__":
    sys.exit(main())
