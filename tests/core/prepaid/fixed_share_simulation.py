"""Baseline without claims: each host may spend an equal share."""

from __future__ import annotations

from tests.core.prepaid.fleet_simulation import FleetSimulation, Host


class FixedShareSimulation(FleetSimulation):
    """Each host spends an equal share of the prepaid tokens and asks nobody.

    A restarted host can't tell what its predecessor has spent, so that share is lost.
    """

    def _reserve(self, host: Host, name: str, tokens: int) -> bool:
        account = host.token_accounts.account(name, self.now)
        equal_share = self.balances[name].prepaid // self.scenario.hosts
        account.confirmed = account.intended = account.unlocked = equal_share
        is_first = host.name.endswith("-0")
        return is_first and account.reserve(tokens)

    def _sync(self, host: Host, waiting: dict[str, list[int]]) -> None:
        """Claim nothing."""

    def _stranded_tokens(self, host: Host, name: str) -> int:
        return max(0, host.token_accounts.account(name, self.now).free)
