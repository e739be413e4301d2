from __future__ import annotations

import random
import statistics

from hypothesis import given, settings
from hypothesis import strategies as st

from knapweeddrum.core.admission.admission_controller import AdmissionController
from knapweeddrum.core.admission.admission_limits import AdmissionLimits
from knapweeddrum.core.admission.admission_request import AdmissionRequest
from knapweeddrum.core.admission.admitted import Admitted
from knapweeddrum.core.admission.exceptions import (
    RepeatedRequestError,
    UnknownRouteError,
)
from knapweeddrum.core.admission.queued import Queued
from knapweeddrum.core.admission.refused import Refused
from knapweeddrum.value.priority import Priority
from knapweeddrum.value.refusal_reason import RefusalReason
from knapweeddrum.value.run_state import RunState

ROUTE = "model-desk"


def new_controller(in_progress=2, queued=50, service_seconds=1.0):
    """Return a controller of one route."""
    controller = AdmissionController(random.Random(1))
    limits = AdmissionLimits(in_progress, queued, service_seconds)
    controller.configure(ROUTE, limits)
    return controller


def offer(controller, name, now=0.0, **kwargs):
    """Offer a request and return the decision on it."""
    kwargs.setdefault("organisation", "mill")
    kwargs.setdefault("deadline", now + 1000.0)
    req = AdmissionRequest(name, kwargs.pop("route", ROUTE), **kwargs)
    return controller.offer(req, now)[0]


def admitted(decisions):
    """Return the identifiers of the admitted requests."""
    return [item.request_id for item in decisions if isinstance(item, Admitted)]


def test_unknown_route_and_repeated_request_are_errors():
    """An unknown route or a repeated request identifier raises an error."""
    controller = new_controller()
    offer(controller, "a")
    for error, name, route in (
        (UnknownRouteError, "b", "other"),
        (RepeatedRequestError, "a", ROUTE),
    ):
        try:
            offer(controller, name, route=route)
        except error:
            continue
        raise AssertionError(f"no {error.__name__}")


def test_request_that_would_miss_its_deadline_is_refused_at_once():
    """A request that would wait too long is refused at once, with a retry-after."""
    controller = new_controller()
    for name in "abcdef":
        offer(controller, name)
    decision = offer(controller, "g", deadline=4.0)
    assert isinstance(decision, Refused)
    assert decision.refusal.reason is RefusalReason.OVERLOADED
    assert decision.refusal.run_state is RunState.NOT_RUN
    assert decision.refusal.retry_after >= 1.0
    assert isinstance(offer(controller, "h", deadline=6.0), Queued)
    past = offer(controller, "i", now=5.0, deadline=5.0)
    assert past.refusal.reason is RefusalReason.DEADLINE


def test_queued_request_is_refused_well_before_its_deadline():
    """With no free slot, a queued request is refused with half its time left."""
    controller = new_controller()
    for name in "abc":
        offer(controller, name, deadline=10.0)
    decided_at = None
    for tick in range(100):
        if controller.poll(tick / 10):
            decided_at = tick / 10
            break
    assert decided_at is not None
    assert decided_at <= 5.0


def test_retry_after_is_spread_and_grows_with_overload():
    """Retry-afters differ between callers and increase with the number of refusals."""
    controller = new_controller(in_progress=10, queued=0)
    for number in range(10):
        offer(controller, f"r{number}")
    seconds = [
        offer(controller, f"x{number}").refusal.retry_after for number in range(200)
    ]
    assert len({round(value, 3) for value in seconds}) > 150
    assert statistics.mean(seconds[100:]) > 1.5 * statistics.mean(seconds[:50])
    assert max(seconds) <= 60.0


def test_requests_are_admitted_by_priority():
    """A free slot goes to the highest priority, whatever the order of arrival."""
    controller = new_controller(in_progress=1)
    offer(controller, "review in its own slot", priority=Priority.REVIEW)
    offer(controller, "running")
    for priority in reversed(Priority):
        offer(controller, f"p{priority.value}", priority=priority)
    order = []
    ended = "running"
    for _ in range(3):
        ended = admitted(controller.release(ROUTE, ended, 1.0))[0]
        order.append(ended)
    assert order == ["p0", "p1", "p2"]


def test_reviews_leave_slots_for_live_requests():
    """A live request starts at once, however many reviews came before it."""
    controller = new_controller(in_progress=8)
    for number in range(20):
        offer(controller, f"review{number}", priority=Priority.REVIEW)
    assert controller.queue(ROUTE).in_progress <= 7
    assert isinstance(offer(controller, "live"), Admitted)


def test_review_progresses_under_constant_live_load_without_taking_a_slot():
    """While live requests wait all the time, reviews run in their extra slot."""
    controller = new_controller(in_progress=4, queued=500)
    live = [f"live{number}" for number in range(300)]
    for name in live:
        offer(controller, name)
    for number in range(5):
        offer(controller, f"review{number}", priority=Priority.REVIEW)
    running = live[:4] + admitted(controller.poll(0.0))
    reviews = 0
    for step in range(1, 41):
        ended = running.pop(0)
        started = admitted(controller.release(ROUTE, ended, float(step)))
        assert len([name for name in running + started if "live" in name]) == 4
        reviews += sum("review" in name for name in started)
        running += started
    assert reviews >= 4


def test_full_queue_displaces_the_lowest_priority():
    """A live request displaces a queued review, which is refused at once."""
    controller = new_controller(in_progress=1, queued=2)
    offer(controller, "running")
    for name in ("review1", "review2", "review3"):
        offer(controller, name, priority=Priority.REVIEW)
    decisions = controller.offer(AdmissionRequest("live", ROUTE, "mill", 1000.0), 0.0)
    assert isinstance(decisions[0], Queued)
    assert isinstance(decisions[1], Refused)
    assert "review" in decisions[1].request_id


def test_small_organisation_is_not_starved_by_a_large_one():
    """A request waits behind one request of another organisation, not all of them."""
    controller = new_controller(in_progress=1)
    offer(controller, "running", organisation="large")
    for number in range(20):
        offer(controller, f"large{number}", organisation="large")
    assert offer(controller, "small", organisation="small").position <= 1


def test_full_queue_of_one_organisation_accepts_a_request_of_another():
    """The queued request with the last start tag is displaced, not the new one."""
    controller = new_controller(in_progress=1, queued=5)
    for number in range(6):
        offer(controller, f"large{number}", organisation="large")
    decision = offer(controller, "small", organisation="small")
    assert isinstance(decision, Queued)
    assert controller.queue(ROUTE).waiting == 5


def test_service_is_shared_in_proportion_to_weights():
    """Two backlogged organisations with weights 3 and 1 are served three to one."""
    controller = new_controller(in_progress=1, queued=500)
    offer(controller, "running", organisation="other")
    for number in range(100):
        offer(controller, f"heavy{number}", organisation="heavy", weight=3.0)
        offer(controller, f"light{number}", organisation="light", weight=1.0)
    served = []
    ended = "running"
    for _ in range(80):
        ended = admitted(controller.release(ROUTE, ended, 0.1))[0]
        served.append(ended)
    assert 58 <= sum("heavy" in name for name in served) <= 62


def test_plain_service_requests_do_not_queue_behind_model_requests():
    """A full model route doesn't delay requests to a plain service."""
    controller = new_controller(in_progress=1)
    controller.configure("order-svc", AdmissionLimits(4, 10, 0.01))
    for number in range(30):
        offer(controller, f"model{number}")
    assert isinstance(offer(controller, "status", route="order-svc"), Admitted)


STEPS = st.lists(
    st.tuples(
        st.sampled_from(("offer", "release", "withdraw", "poll")),
        st.sampled_from(tuple(Priority)),
        st.sampled_from(("large", "small")),
        st.floats(0.0, 3.0),
    ),
    max_size=60,
)


@settings(derandomize=True, deadline=None, max_examples=100)
@given(STEPS)
def test_each_request_is_decided_once_and_limits_hold(steps):
    """Each request is decided once; slots and queue stay within their limits."""
    controller = new_controller(in_progress=4, queued=6, service_seconds=0.5)
    queue = controller.queue(ROUTE)
    waiting, running = [], []
    now = 0.0
    for number, (action, priority, organisation, elapsed) in enumerate(steps):
        now += elapsed
        decisions = ()
        if action == "offer":
            req = AdmissionRequest(
                f"r{number}", ROUTE, organisation, now + 5.0, priority
            )
            waiting.append(req.request_id)
            decisions = controller.offer(req, now)
        elif action == "release" and running:
            decisions = controller.release(ROUTE, running.pop(0), now)
        elif action == "withdraw" and waiting:
            decisions = controller.withdraw(ROUTE, waiting.pop(0), now)
        elif action == "poll":
            decisions = controller.poll(now)
        for decision in decisions:
            if isinstance(decision, Queued):
                continue
            waiting.remove(decision.request_id)
            if isinstance(decision, Admitted):
                running.append(decision.request_id)
        assert (queue.waiting, queue.in_progress) == (len(waiting), len(running))
        assert queue.waiting <= 6
        assert queue.in_progress <= 5
