"""Cost of bills by the number of bills in a record."""

from __future__ import annotations

from tools.slopes.batch_payloads import batch_payloads, prerequisite_payload
from tools.slopes.fact_maker import BillMaker
from tools.slopes.figure import Figure
from tools.slopes.reading import Reading
from tools.slopes.replay_cost_slope import follow_cost
from tools.slopes.slope import Slope

BILLS = 2_048
TINY_BILLS = 8


class BatchCostSlope(Slope):
    """Follows bills in records of equal size; the figures are per record.

    The fit's ``fixed`` is the cost of a record, ``per_unit`` that of a bill.
    """

    name = "batch-bill"
    unit = "bills/record"
    sizes = (1, 8, 32, 128)
    tiny_sizes = (1, 2)

    def __init__(self, bills: int = BILLS) -> None:
        self._bills = bills

    def measure(self, size: float) -> Reading:
        """Return cost and bytes per record with ``size`` bills in each record."""
        maker = BillMaker()
        payloads = list(batch_payloads(maker, self._bills, int(size)))
        cost = follow_cost(maker, [prerequisite_payload(maker), *payloads])
        return Reading(
            size,
            (
                Figure("cpu", "us/record", cost.cpu_microseconds / len(payloads)),
                Figure("page", "bytes/record", cost.page_bytes / len(payloads)),
                Figure(
                    "payload", "bytes/record", sum(map(len, payloads)) / len(payloads)
                ),
            ),
        )
