"""Late entries at hosts that can't read what was written before."""

from __future__ import annotations

from tests.async_test import async_test
from tests.core.catalog.entry_day import EntryDay, ReadingHost
from tests.core.catalog.test_entry_day import RETURN_SECONDS, SEEDS, drawn_cuts
from tests.process.entry.entry_harness import entry_harness, entry_process
from tests.process.entry.test_late_entries import call, service, write


@async_test
async def test_host_that_starts_after_the_history_expired_sends_the_endpoint_nothing():
    """The removal and the entries before it are gone from the stream (DRAIN)."""
    leaving, staying = service(1), service(2)
    async with entry_harness(services=(leaving, staying)) as harness:
        late = leaving.entry("stock")
        write(harness, leaving)
        write(harness, staying)
        harness.store.drop("keyed.servers", leaving.server_id)
        await harness.wait_for_event("endpoint_unlisted")
        harness.store.put("keyed.servers", leaving.server_id, late)
        harness.store.stream("keyed.servers").expire_records()
        async with entry_process(
            harness.store, harness.store_address, "host-2"
        ) as started:
            await started.wait_until_ready()
            await call(started, "started")
            assert leaving.arrivals == 0


def test_last_entry_before_a_removal_brings_none_back_at_a_host_that_was_cut_off():
    """Nobody has read its number, and the host takes its cut for an outage (DRAIN)."""
    for seed in range(SEEDS):
        findings = ReadingHost(EntryDay(seed), drawn_cuts(seed)).run(RETURN_SECONDS)
        assert not findings.used_after_leaving, (seed, findings.used_after_leaving)
