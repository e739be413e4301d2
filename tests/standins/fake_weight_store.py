from __future__ import annotations

from knapweeddrum.platform.weight_store import WeightStore


class FakeWeightStore(WeightStore):
    """Admits fetches unless told to make them wait, in seconds."""

    def __init__(self) -> None:
        self.wait = 0.0
        self.reserved: list[tuple[str, str]] = []

    async def reserve_fetch(self, model: str, version: str) -> float:
        if not self.wait:
            self.reserved.append((model, version))
        return self.wait
