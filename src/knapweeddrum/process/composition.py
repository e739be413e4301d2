"""The composition root: wires settings, clients and tasks of each binary."""

from __future__ import annotations

from knapweeddrum.settings.settings import Settings


async def run_router(settings: Settings) -> None:
    """Run a router until it is told to stop."""


async def run_keeper(settings: Settings) -> None:
    """Run a keeper until it is told to stop."""


async def run_control(settings: Settings) -> None:
    """Run a control process until it is told to stop."""
