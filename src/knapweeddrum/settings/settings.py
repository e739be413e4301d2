"""The settings of one entry host, shared by its processes."""

from __future__ import annotations

import pydantic

from knapweeddrum.settings.budget_settings import BudgetSettings
from knapweeddrum.settings.control_settings import ControlSettings
from knapweeddrum.settings.fleet_settings import FleetSettings
from knapweeddrum.settings.host_settings import HostSettings
from knapweeddrum.settings.platform_settings import PlatformSettings
from knapweeddrum.settings.router_settings import RouterSettings
from knapweeddrum.settings.strict_model import StrictModel
from knapweeddrum.settings.telemetry_settings import TelemetrySettings


class Settings(StrictModel):
    """All settings of a host; ``peers`` are the other hosts known at its start."""

    fleet: FleetSettings
    host: HostSettings
    peers: tuple[HostSettings, ...] = ()
    platform: PlatformSettings
    budgets: BudgetSettings = BudgetSettings()
    router: RouterSettings = RouterSettings()
    control: ControlSettings = ControlSettings()
    telemetry: TelemetrySettings = TelemetrySettings()

    @pydantic.model_validator(mode="after")
    def _hosts_are_distinct(self) -> Settings:
        names = [self.host.name, *(peer.name for peer in self.peers)]
        if len(set(names)) != len(names):
            raise ValueError("host names must be distinct")
        return self

    @pydantic.model_validator(mode="after")
    def _ports_are_distinct(self) -> Settings:
        used = [
            address
            for host in (self.host, *self.peers)
            for address in host.listen_addresses()
        ]
        if len(set(used)) != len(used):
            raise ValueError("each address and port must be used once")
        return self
