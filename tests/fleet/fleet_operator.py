"""An operator's client of one control process."""

from __future__ import annotations

import json

import httpcore
import msgspec

from knapweeddrum.message.call.budget_status import BudgetStatus
from tests.fleet.conditions import WAIT_TIMEOUT_SECONDS
from tests.fleet.fleet_answer import FleetAnswer
from tests.fleet.resources import ORGANISATION

TIMEOUT = dict.fromkeys(("connect", "read", "write", "pool"), WAIT_TIMEOUT_SECONDS)


class FleetOperator:
    """Calls the resource API over HTTP."""

    def __init__(self, url: str) -> None:
        self.url = url

    def top_up(self, budget: str, tokens: int, topup_id: str) -> FleetAnswer:
        """Top up a budget; ``topup_id`` makes repeats count once."""
        document = {
            "topup_id": topup_id,
            "budget": f"{ORGANISATION}/{budget}",
            "tokens": tokens,
        }
        return self.send("POST", "/v1/top-ups", document)

    def put(
        self, kind: str, name: str, spec: object, version: int, change_id: str
    ) -> FleetAnswer:
        """Put a resource whose current version is ``version``, 0 if it is new.

        Repeats with the same ``change_id`` are one change.
        """
        document = {"version": version, "spec": spec}
        path = f"/v1/resources/{kind}/{name}"
        return self.send("PUT", path, document, {"x-change-id": change_id})

    def status(self, budget: str) -> BudgetStatus:
        """Return a budget's status, which the control process gets from a keeper."""
        answer = self.send("GET", f"/v1/budgets?prefix={ORGANISATION}/{budget}")
        entries = json.loads(answer.body)["budgets"]
        return msgspec.convert(entries[0], BudgetStatus)

    def send(
        self,
        method: str,
        path: str,
        document: object = None,
        headers: dict[str, str] | None = None,
    ) -> FleetAnswer:
        """Send a request to the resource API."""
        body = b"" if document is None else json.dumps(document).encode()
        with httpcore.ConnectionPool() as pool:
            response = pool.request(
                method,
                self.url + path,
                headers={"content-type": "application/json", **(headers or {})},
                content=body,
                extensions={"timeout": TIMEOUT},
            )
        names = {name.decode().lower(): v.decode() for name, v in response.headers}
        return FleetAnswer(response.status, names, response.content)
