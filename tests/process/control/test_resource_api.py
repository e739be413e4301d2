from __future__ import annotations

from nose2.tools import params

from knapweeddrum.value.control_refusal_reason import ControlRefusalReason
from tests.async_test import async_test
from tests.process.control.control_bench import ControlBench, control_bench

ORGANISATION = {"key_digests": ["ab" * 32], "weight": 2}
ENDPOINT = {
    "kind": "model_engine",
    "address": "http://127.0.0.1:9000",
    "data_centre": "dc-1",
}


async def declare_route(bench: ControlBench) -> None:
    """Create an endpoint and a route to it."""
    await bench.put("endpoint/e1", 0, ENDPOINT)
    await bench.put("route/desk", 0, {"kind": "model_engine", "endpoints": ["e1"]})


@async_test
async def test_declared_resource_is_read_back():
    """Creating a resource answers 201; reading and listing then return it."""
    async with control_bench() as bench:
        created = await bench.put("organisation/mill", 0, ORGANISATION)
        assert created.status == 201
        assert created.headers["x-change-id"]
        read = await bench.call("GET", "/v1/resources/organisation/mill")
        assert read.document == created.document
        assert read.document["version"] == 1
        assert read.document["spec"] == ORGANISATION | {"weigh": ""}
        listed = await bench.call("GET", "/v1/resources/organisation?prefix=mi")
        assert listed.document["resources"] == [read.document]


@async_test
async def test_budget_name_includes_its_organisation():
    """The name of a budget is ``organisation/budget`` with its own organisation."""
    async with control_bench() as bench:
        await bench.put("organisation/mill", 0, ORGANISATION)
        spec = {"organisation": "mill"}
        assert (await bench.put("budget/mill/main", 0, spec)).status == 201
        wrong = await bench.put("budget/other/main", 0, spec)
        assert wrong.document["errors"][0]["field"] == "spec.organisation"


@async_test
async def test_repeat_of_a_change_gets_the_same_verdict():
    """A repeat with the same change id gets the same response and changes nothing."""
    async with control_bench() as bench:
        put = bench.put
        first = await put("organisation/mill", 0, ORGANISATION, x_change_id="c1")
        again = await put("organisation/mill", 0, ORGANISATION, x_change_id="c1")
        assert (again.status, again.document) == (first.status, first.document)
        assert len(bench.keeper.records) == 1


@async_test
async def test_conflicting_change_gets_the_current_version():
    """A change to an outdated version gets 409 with the current version."""
    async with control_bench() as bench:
        await bench.put("organisation/mill", 0, ORGANISATION)
        won = await bench.put("organisation/mill", 1, ORGANISATION | {"weight": 3})
        lost = await bench.put("organisation/mill", 1, ORGANISATION | {"weight": 4})
        assert won.status == 200
        assert lost.status == 409
        assert lost.headers["content-type"] == "application/problem+json"
        assert lost.document["version"] == won.document["version"] == 2
        assert lost.document["offset"] == won.document["offset"]


@async_test
async def test_change_during_a_log_outage_is_not_applied():
    """While the log is unavailable a change gets 503, not_run and Retry-After."""
    async with control_bench() as bench:
        bench.keeper.log_unavailable = True
        answer = await bench.put("organisation/mill", 0, ORGANISATION)
        assert answer.status == 503
        assert answer.headers["retry-after"] == "3"
        assert answer.document["run_state"] == "not_run"
        assert bench.keeper.records == []


@async_test
async def test_lost_reply_leaves_the_outcome_unknown_until_repeated():
    """When the keeper's reply is lost, a change gets 504; its repeat the verdict."""
    async with control_bench() as bench:
        bench.keeper.lose_next_reply = True
        put = bench.put
        lost = await put("organisation/mill", 0, ORGANISATION, x_change_id="c1")
        assert lost.status == 504
        assert lost.document["reason"] == "unknown"
        assert lost.document["run_state"] == "unknown"
        assert "c1" in lost.document["detail"]
        again = await put("organisation/mill", 0, ORGANISATION, x_change_id="c1")
        assert (again.status, again.document["version"]) == (201, 1)
        assert len(bench.keeper.records) == 1


@async_test
async def test_requests_are_refused_without_a_keeper():
    """Without a keeper each request gets 503, and the outage is logged once."""
    bench = ControlBench()
    bench.keeper.unreachable = True
    follower = bench.process.follower
    await follower._poll()
    await follower._poll()
    for method, path in (("GET", "/v1/status"), ("GET", "/v1/resources/route")):
        answer = await bench.call(method, path)
        assert answer.status == 503
        assert answer.headers["retry-after"] == "1"
    assert bench.events.names.count("waiting") == 1
    bench.keeper.unreachable = False
    await follower._poll()
    assert "dependency_ready" in bench.events.names
    assert (await bench.call("GET", "/v1/status")).status == 200


INVALID_SPECS = (
    ("organisation/mill", {"key_digests": ["x"]}, "spec.key_digests.0"),
    ("organisation/mill", {"key_digests": [], "weight": -1}, "spec.weight"),
    ("organisation/mill", {"key_digests": [], "wieght": 1}, "spec.wieght"),
    ("organisation/mill/x", {"key_digests": []}, "name"),
    ("budget/mill", {"organisation": "mill"}, "name"),
    ("budget/none/main", {"organisation": "none"}, "spec.organisation"),
    ("route/desk", {"kind": "model_engine", "endpoints": []}, "spec.endpoints"),
    (
        "route/desk",
        {"kind": "model_engine", "endpoints": ["none"]},
        "spec.endpoints.0",
    ),
    (
        "route/desk",
        {"kind": "model_engine", "endpoints": ["e1"], "output_limit": -5},
        "spec.output_limit",
    ),
    ("rule/r", {"route": "none"}, "spec.route"),
    ("rule/r", {"route": "desk", "path_prefix": "x"}, "spec.path_prefix"),
    ("endpoint/e", ENDPOINT | {"address": "http://a.example:1"}, "spec.address"),
    ("endpoint/e", ENDPOINT | {"address": "http://127.0.0.1"}, "spec.address"),
    ("endpoint/e", ENDPOINT | {"address": "http://127.0.0.1:1/x"}, "spec.address"),
    ("endpoint/e", ENDPOINT | {"kind": "printer"}, "spec.kind"),
)


@params(*INVALID_SPECS)
def test_invalid_resource_names_field_value_and_allowed(path, spec, field):
    """An invalid specification gets 422 with the field, and nothing is changed."""

    @async_test
    async def check_refusal():
        async with control_bench() as bench:
            await declare_route(bench)
            answer = await bench.put(path, 0, spec)
            assert answer.status == 422, answer
            error = answer.document["errors"][0]
            assert error["field"] == field or field is None
            assert error["value"]
            assert error["allowed"]
            assert len(bench.keeper.records) == 2

    check_refusal()


@async_test
async def test_resource_in_use_is_not_deleted():
    """An endpoint can only be deleted after the route that refers to it."""
    async with control_bench() as bench:
        await declare_route(bench)
        refused = await bench.call("DELETE", "/v1/resources/endpoint/e1?version=1")
        assert refused.status == 422
        assert "route desk" in refused.document["errors"][0]["allowed"]
        await bench.call("DELETE", "/v1/resources/route/desk?version=1")
        deleted = await bench.call("DELETE", "/v1/resources/endpoint/e1?version=1")
        assert deleted.status == 200
        assert deleted.document["deleted"]
        gone = await bench.call("GET", "/v1/resources/endpoint/e1")
        assert gone.status == 404


BAD_REQUESTS = (
    ("PUT", "/v1/resources/organisation/mill", b"{", 422),
    ("PUT", "/v1/resources/organisation/mill", b'{"version": -1, "spec": {}}', 422),
    ("PUT", "/v1/resources/organisation/mill", b"x" * 1_001, 413),
    ("PUT", "/v1/resources/printer/p", b"{}", 404),
    ("POST", "/v1/status", b"", 405),
    ("GET", "/v2", b"", 404),
    ("DELETE", "/v1/resources/route/desk", b"", 422),
    ("DELETE", f"/v1/resources/route/desk?version={10**99}", b"", 422),
    ("PUT", "/v1/resources/rule/r", b'{"version": 1%s, "spec": {}}' % (b"0" * 99), 422),
    ("GET", "/v1/watch?after=x", b"", 422),
    ("POST", "/v1/hosts/h1/drain", b'{"draining": "perhaps"}', 422),
)


@params(*BAD_REQUESTS)
def test_bad_request_is_refused_and_counted(method, path, body, status):
    """An invalid request gets a 4xx with a reason and is counted by reason."""

    @async_test
    async def check_refusal():
        async with control_bench(body_limit_bytes=1_000) as bench:
            answer = await bench.send(method, path, body)
            assert answer.status == status, answer
            reason = ControlRefusalReason(answer.document["reason"])
            assert bench.metrics.counts[f"control.refusal.{reason}"] == 1
            assert "control_refused" in bench.events.names

    check_refusal()


@async_test
async def test_operators_token_is_checked():
    """With a digest in the settings, requests without the token get 401."""
    digest = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"
    async with control_bench(operator_key_digest=digest) as bench:
        for headers in ({}, {"authorization": "Bearer wrong"}):
            assert (await bench.call("GET", "/v1/status", **headers)).status == 401
        right = {"authorization": "Bearer secret"}
        assert (await bench.call("GET", "/v1/status", **right)).status == 200


@async_test
async def test_change_is_read_back_while_a_poll_hangs():
    """An accepted change is read back even while the poll of a keeper hangs."""
    async with control_bench() as bench:
        await bench.put("organisation/mill", 0, ORGANISATION)
        bench.keeper.hang_next_config = True
        await bench.put("organisation/mill", 1, ORGANISATION)
        await bench.put("organisation/mill", 2, ORGANISATION | {"weight": 9})
        read = await bench.call("GET", "/v1/resources/organisation/mill")
        assert read.document["spec"]["weight"] == 9
