from __future__ import annotations

import concurrent.futures
import json

from tests.fleet.conditions import wait_until
from tests.fleet.fleet_answer import FleetAnswer
from tests.fleet.fleet_bench import FleetBench, fleet_bench

ROUNDS = 8
ORGANISATION = {"key_digests": ["0" * 64]}


def put(bench: FleetBench, index: int, version: int, weight: int) -> FleetAnswer:
    """Put organisation ``racer`` at one control process."""
    change_id = f"change-{version}-{index}"
    spec = {**ORGANISATION, "weight": weight}
    return bench.operators[index].put("organisation", "racer", spec, version, change_id)


def reported_weight(bench: FleetBench, index: int) -> int:
    """Return the weight that one control process reports; 0 if there is none."""
    answer = bench.operators[index].send("GET", "/v1/resources/organisation/racer")
    return json.loads(answer.body)["spec"]["weight"] if answer.status == 200 else 0


def test_one_of_two_racing_changes_is_accepted():
    """The other change gets a conflict, and all hosts use the accepted one."""
    with (
        fleet_bench(host_count=2) as bench,
        concurrent.futures.ThreadPoolExecutor(2) as threads,
    ):
        for version in range(ROUNDS):
            weights = (2 * version + 1, 2 * version + 2)
            futures = [
                threads.submit(put, bench, index, version, weights[index])
                for index in range(2)
            ]
            statuses = [fut.result().status for fut in futures]
            assert sorted(statuses) in ([200, 409], [201, 409]), statuses
            winner = weights[0 if statuses[0] < 300 else 1]
            for index in range(2):
                wait_until(
                    lambda index=index, winner=winner: (
                        reported_weight(bench, index) == winner
                    ),
                    "the accepted change at each host",
                )


def test_change_whose_reply_was_lost_is_made_once():
    """A repeat at another host gets the same verdict after the first keeper failed."""
    with fleet_bench(host_count=2) as bench:
        bench.switch(bench.fleet.log, lose_replies=1)
        first = put(bench, 0, 0, 5)
        bench.kill(0, "keeper")
        repeat = bench.operators[1].put(
            "organisation", "racer", {**ORGANISATION, "weight": 5}, 0, "change-0-0"
        )
        assert (first.status, repeat.status) == (201, 201)
        assert json.loads(repeat.body)["version"] == 1
        assert put(bench, 1, 0, 6).status == 409
        assert reported_weight(bench, 1) == 5
