"""Measure routing, admission, retries and the crash register against baselines.

Prints a JSON line for each scenario, strategy (``way``) and seed. Time is simulated
and seeds are fixed, so the same source tree prints the same lines.
"""

from __future__ import annotations

import sys
from collections.abc import Sequence

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


def measure_routing(names: Sequence[str] = ()) -> None:
    """Print the rows of the named scenarios, or of all."""
    for name in names or SCENARIOS:
        for row in SCENARIOS[name]():
            print_row(row)


def main() -> int:
    """Run all scenarios, or those named on the command line."""
    measure_routing(sys.argv[1:])
    return 0


if __name__ == "__main__":
    sys.exit(main())
