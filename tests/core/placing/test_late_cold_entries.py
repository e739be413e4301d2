from __future__ import annotations

from knapweeddrum.core.catalog.cold_ramp import ColdRamp
from knapweeddrum.core.catalog.endpoint_entry import EndpointEntry
from knapweeddrum.core.placing.cold_endpoints import ColdEndpoints
from knapweeddrum.value.identifiers import EndpointName

E1 = EndpointName("e1/10.0.0.1:1/7")
START_SECONDS = 10.0
PER_SECOND = 2.0


def warm_entry(number: int) -> EndpointEntry:
    return EndpointEntry(
        "e1", "engine", "10.0.0.1:1", "a", 8, started_at_ms=7, number=number
    )


def test_late_entry_from_before_a_data_centre_was_taken_back_calls_none_warm():
    """The endpoint grew cold while its data centre was empty (LIMIT).

    Its last entry from before is carried out after a read that followed the taking
    back, so that by its place it seems to be written later.
    """
    cold = ColdEndpoints()
    cold.set_ramps({"engine": ColdRamp(PER_SECOND, START_SECONDS)})
    cold.observe_entry(E1, warm_entry(4), 10, 100.0)
    cold.observe_read([E1], 100.0, 11)
    cold.take_back("a", 101.0)
    cold.observe_read([E1], 101.2, 11)
    assert cold.limit(E1, 101.3) == PER_SECOND
    cold.observe_entry(E1, warm_entry(5), 11, 101.5)
    cold.observe_read([E1], 101.5, 12)
    assert cold.limit(E1, 101.6) == PER_SECOND
