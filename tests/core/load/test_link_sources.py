"""Received bytes by their source."""

from __future__ import annotations

from knapweeddrum.core.load.link_load import LinkLoad
from knapweeddrum.core.load.link_sources import LinkSources
from knapweeddrum.value.link_source import LinkSource


def test_rates_tell_what_fills_the_link():
    """Else a host that reads nothing can't say whether callers or the store do."""
    sources = LinkSources()
    load = LinkLoad()
    sources.rates(0.0)
    for second in range(10):
        sources.receiver(LinkSource.CALLERS, load)(50_000)
        sources.receiver(LinkSource.STORE, load)(10_000)
        rates = sources.rates(second + 1.0)
    assert 49_000 < rates["callers"] <= 50_000
    assert 9_800 < rates["store"] <= 10_000
    assert rates["hosts"] == 0
    assert sources.totals[LinkSource.CALLERS] == 500_000


def test_bytes_of_all_sources_count_as_load():
    """The link is full whoever fills it."""
    sources = LinkSources()
    load = LinkLoad(1.0)
    load.update(0.0)
    for source in LinkSource:
        sources.receiver(source, load)(50_000)
    assert load.level(0.1) > 0.0
