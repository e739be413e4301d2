from __future__ import annotations

from knapweeddrum.core.catalog.endpoint_entry import EndpointEntry
from knapweeddrum.core.placing.endpoint_state import EndpointState
from knapweeddrum.core.placing.load_report import LoadReport


def test_malformed_loads_in_a_row_are_reported_once():
    """An endpoint that sends nothing else must not fill the log."""
    state = EndpointState(EndpointEntry("e1", "engine", "10.0.0.1:1", "a", 8))
    assert state.record_malformed_load()
    assert not state.record_malformed_load()
    state.record_load(LoadReport(1, 0, 8), 0.0)
    assert state.record_malformed_load()
