"""Reads the TOML settings file that the platform writes for an entry process."""

from __future__ import annotations

import pathlib
import tomllib
from typing import Annotated, Any

import msgspec

from knapweeddrum.core.catalog.entry_order import DEFAULT_HEARTBEAT_SECONDS
from knapweeddrum.platform.exceptions import SettingsFileError
from knapweeddrum.settings.entry_settings import EntrySettings

SETTINGS_VARIABLE = "KNAPWEEDDRUM_BOOT"
"""Environment variable that names the settings file."""

BYTES_PER_MB = 1_000_000

Address = Annotated[str, msgspec.Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]
PositiveFloat = Annotated[float, msgspec.Meta(gt=0)]
PositiveInteger = Annotated[int, msgspec.Meta(gt=0)]
NonNegativeFloat = Annotated[float, msgspec.Meta(ge=0)]


class _Listen(msgspec.Struct, frozen=True):
    front: Address
    ready: Address = msgspec.field(name="readyAddress")
    directory: Address | None = None


class _Bounds(msgspec.Struct, frozen=True):
    grace: PositiveFloat = msgspec.field(name="graceS", default=8.0)
    retry_share: NonNegativeFloat = msgspec.field(name="retryBudgetRatio", default=0.2)
    retry_slack: NonNegativeFloat = msgspec.field(name="budgetSlack", default=50.0)
    retry_window: PositiveFloat = msgspec.field(name="budgetWindowS", default=10.0)
    directory_lifetime: PositiveFloat = msgspec.field(name="ttl_max_s", default=5.0)
    stable_window_ms: PositiveFloat = msgspec.field(
        name="stableWindowMs", default=3000.0
    )
    cold_over: PositiveFloat = msgspec.field(name="coldOver", default=1.5)
    cold_slack: NonNegativeFloat = msgspec.field(name="coldSlack", default=5.0)
    drain_ms: PositiveFloat = msgspec.field(name="drainMs", default=2000.0)


class _Limits(msgspec.Struct, frozen=True):
    """Section ``limits``: what this host may use."""

    cpu_share: PositiveFloat = msgspec.field(name="cpuShare", default=1.0)
    """Part of the time in which the processor runs."""
    speed: PositiveFloat = msgspec.field(name="cores", default=1.0)
    """Speed of the processor, in cores."""
    link_mbps: PositiveFloat = msgspec.field(name="linkMbps", default=1000.0)
    memory_mb: PositiveFloat | None = msgspec.field(name="memoryMb", default=None)
    max_descriptors: PositiveInteger | None = msgspec.field(name="maxFds", default=None)

    def named(self) -> dict[str, Any]:
        """Return the fields of EntrySettings that are set only if they are named."""
        named: dict[str, Any] = {}
        if self.memory_mb is not None:
            named["memory_bytes"] = int(self.memory_mb * BYTES_PER_MB)
            named["names_memory"] = True
        if self.max_descriptors is not None:
            named["max_descriptors"] = self.max_descriptors
        return named


class _Store(msgspec.Struct, frozen=True):
    """Section ``platform``: ``IP:port`` of the platform's store."""

    address: Address


class _SettingsDocument(msgspec.Struct, frozen=True):
    name: str = msgspec.field(name="nodeName")
    zone: str
    listen: _Listen
    internal_ports: Annotated[tuple[int, ...], msgspec.Meta(min_length=1)] = (
        msgspec.field(name="internalPorts")
    )
    """First and last port of the range for traffic between hosts."""
    platform: _Store
    is_first_start: bool = msgspec.field(name="bootstrap", default=False)
    heartbeat_ms: PositiveFloat = msgspec.field(
        name="heartbeatMs", default=DEFAULT_HEARTBEAT_SECONDS * 1000
    )
    bounds: _Bounds = _Bounds()
    limits: _Limits = _Limits()


def read_settings_file(path: pathlib.Path) -> EntrySettings:
    """Read the settings; the SettingsFileError raised names the invalid field."""
    try:
        with path.open("rb") as file:
            document = msgspec.convert(tomllib.load(file), _SettingsDocument)
    except OSError as exc:
        raise SettingsFileError(f"{path}: {exc.strerror}") from exc
    except (msgspec.ValidationError, ValueError, RecursionError) as exc:
        raise SettingsFileError(f"{path}: {exc}") from exc
    bounds = document.bounds
    own_ip = document.listen.front.rpartition(":")[0]
    return EntrySettings(
        host_name=document.name,
        data_centre=document.zone,
        store_address=document.platform.address,
        caller_address=document.listen.front,
        ready_address=document.listen.ready,
        directory_address=document.listen.directory,
        peer_address=f"{own_ip}:{document.internal_ports[0]}",
        processor_cores=document.limits.cpu_share * document.limits.speed,
        link_mbps=document.limits.link_mbps,
        grace_period=bounds.grace,
        retry_ratio=bounds.retry_share,
        is_first_start=document.is_first_start,
        retry_slack=bounds.retry_slack,
        retry_window=bounds.retry_window,
        directory_lifetime=bounds.directory_lifetime,
        stable_window=bounds.stable_window_ms / 1000,
        cold_over=bounds.cold_over,
        cold_slack=bounds.cold_slack,
        drain_delay=bounds.drain_ms / 1000,
        endpoint_heartbeat_interval=document.heartbeat_ms / 1000,
        **document.limits.named(),
    )
