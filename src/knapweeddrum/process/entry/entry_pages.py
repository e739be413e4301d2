"""HTTP pages of an entry process."""

from __future__ import annotations

from knapweeddrum.platform.directory_protocol import encode_directory_reply
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.process.entry.page_server import PageAnswer
from knapweeddrum.telemetry.exposition import exposition

MAX_DIRECTORY_LIFETIME_SECONDS = 2.0
METRICS_CONTENT_TYPE = "text/plain; version=0.0.4"


class EntryPages:
    """Serves readiness, directory and metrics."""

    def __init__(self, ctx: EntryContext) -> None:
        self._ctx = ctx

    async def ready(self, _body: bytes) -> PageAnswer:
        """Return 200 if the process can serve requests, else 503."""
        return PageAnswer(200 if self._ctx.is_ready else 503)

    async def directory(self, _body: bytes) -> PageAnswer:
        """Return the caller addresses of the ready hosts, 503 if there are none."""
        ctx = self._ctx
        own = ctx.settings.caller_address if ctx.is_ready else None
        addresses = ctx.hosts.addresses(own)
        if not addresses:
            return PageAnswer(503)
        lifetime = min(MAX_DIRECTORY_LIFETIME_SECONDS, ctx.settings.directory_lifetime)
        return PageAnswer(200, encode_directory_reply(addresses, lifetime))

    async def metrics(self, _body: bytes) -> PageAnswer:
        """Return counters, gauges and histograms."""
        text = exposition(self._ctx.metrics, self._ctx.gauges())
        return PageAnswer(200, text, METRICS_CONTENT_TYPE)
