"""A request that waits for prepaid tokens."""

from __future__ import annotations

import dataclasses

import anyio

from knapweeddrum.core.prepaid.token_verdict import TokenVerdict


@dataclasses.dataclass(slots=True, eq=False)
class TokenWaiter:
    """Tokens that a request waits for, and the verdict once it is known."""

    organisation: str
    tokens: int
    verdict: TokenVerdict | None = None
    done: anyio.Event = dataclasses.field(default_factory=anyio.Event)

    @property
    def is_reserved(self) -> bool:
        """Return whether the tokens are reserved."""
        return self.verdict is TokenVerdict.RESERVED

    def finish(self, verdict: TokenVerdict) -> None:
        """Set the verdict and wake the waiting task."""
        self.verdict = verdict
        self.done.set()

    async def wait(self, seconds: float) -> None:
        """Wait for the verdict, no longer than ``seconds``."""
        with anyio.move_on_after(max(0.0, seconds)):
            await self.done.wait()
