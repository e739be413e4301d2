"""Handler of requests for the entry advice: the hosts that a caller should use."""

from __future__ import annotations

import msgspec

from knapweeddrum.core.membership.drain_plan import DrainPlan
from knapweeddrum.core.membership.entry_advisor import EntryAdvisor
from knapweeddrum.message.call.entry_host import EntryHost
from knapweeddrum.process.router.entry_address import EntryAddress
from knapweeddrum.process.router.entry_body import EntryBody
from knapweeddrum.process.router.entry_follower import EntryFollower
from knapweeddrum.process.router.exceptions import refused
from knapweeddrum.process.router.response_writer import (
    JSON_CONTENT_TYPE,
    ResponseWriter,
)
from knapweeddrum.process.router.router_context import RouterContext
from knapweeddrum.value.identifiers import DataCentre, HostName
from knapweeddrum.value.refusal_reason import RefusalReason

ENTRY_PATH = "/v1/entry"
NO_HOST_RETRY_AFTER_SECONDS = 2.0


class EntryHandler:
    """Tells callers which hosts to use, in what order and for how long."""

    def __init__(
        self, context: RouterContext, follower: EntryFollower, plan: DrainPlan
    ) -> None:
        self._host = context.settings.host
        self._follower = follower
        self._plan = plan
        self._advice = EntryAdvisor(context.settings.router.advice_lifetime_seconds)

    async def handle(self, caller: str, writer: ResponseWriter) -> None:
        """Answer one request; ``caller`` identifies the caller across requests."""
        body = self._body(caller)
        if not body.hosts:
            raise refused(
                RefusalReason.NOT_READY,
                "no host accepts requests",
                NO_HOST_RETRY_AFTER_SECONDS,
            )
        await writer.send_response(200, JSON_CONTENT_TYPE, msgspec.json.encode(body))

    def _body(self, caller: str) -> EntryBody:
        """Return the advice for one caller."""
        exclude = None if self._plan.is_advised else HostName(self._host.name)
        advice = self._advice.advise(
            self._follower.hosts or (self._own_entry(),),
            caller,
            DataCentre(self._host.data_centre),
            exclude,
        )
        hosts = tuple(
            EntryAddress(
                host=host.host,
                data_centre=host.data_centre,
                address=host.address,
                port=host.router_port,
            )
            for host in advice.hosts
        )
        return EntryBody(hosts=hosts, lifetime_seconds=advice.lifetime)

    def _own_entry(self) -> EntryHost:
        """Return this host, the only one known before the keeper's first reply."""
        return EntryHost(
            host=self._host.name,
            data_centre=self._host.data_centre,
            address=str(self._host.address),
            router_port=self._host.router_port,
            keeper_port=self._host.keeper_port,
            control_port=self._host.control_port,
            draining=False,
            alive=True,
            config_offset=-1,
            incarnation="",
        )
