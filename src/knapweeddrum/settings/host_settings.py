"""Settings of one entry host."""

from __future__ import annotations

import pydantic

from knapweeddrum.settings.strict_model import StrictModel


class HostSettings(StrictModel):
    """Name, location, IP address and ports of an entry host."""

    name: str = pydantic.Field(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")
    region: str = pydantic.Field(min_length=1)
    data_centre: str = pydantic.Field(min_length=1)
    address: pydantic.IPvAnyAddress
    router_port: int = pydantic.Field(default=8080, ge=1, le=65535)
    keeper_port: int = pydantic.Field(default=8081, ge=1, le=65535)
    control_port: int = pydantic.Field(default=8082, ge=1, le=65535)

    def listen_addresses(self) -> tuple[str, ...]:
        """Return ``IP:port`` of the router, the keeper and the control process."""
        ports = (self.router_port, self.keeper_port, self.control_port)
        return tuple(f"{self.address}:{port}" for port in ports)
