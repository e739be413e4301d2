"""Authentication of calls between the processes of a fleet."""

from __future__ import annotations

import dataclasses
import hmac

PROTOCOL_VERSION = 1

FLEET_HEADER = "x-knapweed-fleet"
KEY_HEADER = "x-knapweed-key"
VERSION_HEADER = "x-knapweed-version"


@dataclasses.dataclass(frozen=True, slots=True)
class FleetIdentity:
    """Name and shared key of the fleet, sent with each call."""

    fleet: str
    key: str

    def headers(self) -> dict[str, str]:
        """Return the metadata of an outgoing call."""
        return {
            FLEET_HEADER: self.fleet,
            KEY_HEADER: self.key,
            VERSION_HEADER: str(PROTOCOL_VERSION),
        }

    def mismatch(self, headers: dict[str, str]) -> str:
        """Return which metadata of an incoming call is wrong, empty if none is."""
        if headers.get(FLEET_HEADER) != self.fleet:
            return "fleet"
        if not hmac.compare_digest(headers.get(KEY_HEADER, ""), self.key):
            return "key"
        if headers.get(VERSION_HEADER) != str(PROTOCOL_VERSION):
            return "version"
        return ""
