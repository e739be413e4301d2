"""The way without claims: each host may spend an equal part."""

from __future__ import annotations

from tests.core.prepaid.fleet_play import FleetPlay, Host


class FixedSharePlay(FleetPlay):
    """Each host spends its part of the prepaid tokens and asks nobody.

    A host that starts anew can't tell what its predecessor has spent, so that part is
    lost.
    """

    def _reserve(self, host: Host, name: str, tokens: int) -> bool:
        account = host.token_accounts.account(name, self.now)
        part = self.purses[name].prepaid // self.day.hosts
        account.confirmed = account.intended = account.unlocked = part
        is_first = host.name.endswith("-0")
        return is_first and account.reserve(tokens)

    def _sync(self, host: Host, waiting: dict[str, list[int]]) -> None:
        """Claim nothing."""

    def _held(self, host: Host, name: str) -> int:
        return max(0, host.token_accounts.account(name, self.now).free)
