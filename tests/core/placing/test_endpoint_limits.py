from __future__ import annotations

from knapweeddrum.core.placing.endpoint_limits import (
    ENDED_MEMORY_SECONDS,
    UNNAMED_ANSWERS_TO_END,
    EndpointLimits,
)
from knapweeddrum.core.placing.permit_bucket import MIN_PER_SECOND, PermitBucket
from knapweeddrum.value.identifiers import EndpointName
from knapweeddrum.value.told_limit import ToldLimit

E1 = EndpointName("e1")


def end(limits: EndpointLimits, sent_from: float) -> None:
    """Tell of as many answers without a limit as end it, a second apart."""
    for number in range(UNNAMED_ANSWERS_TO_END):
        limits.observe_unnamed(E1, sent_from + number)


def test_what_was_named_last_counts():
    """Whether this host heard it or another one told."""
    limits = EndpointLimits()
    assert limits.observe_named(E1, 2.0, 9.9, 10.0)
    limits.merge([ToldLimit(E1, None, age=5.0)], 12.0)
    assert limits.limit(E1, 13.0) == 2.0
    limits.merge([ToldLimit(E1, None, age=0.5)], 12.0)
    assert limits.limit(E1, 13.0) is None


def test_only_news_are_told_at_once():
    """A limit that is named again is told with the next heartbeat."""
    limits = EndpointLimits()
    told: list[int] = []
    limits.on_change = lambda: told.append(1)
    assert not limits.observe_unnamed(E1, 1.0)
    assert limits.observe_named(E1, 2.0, 1.9, 2.0)
    assert not limits.observe_named(E1, 2.0, 2.9, 3.0)
    assert limits.observe_named(E1, 3.0, 3.9, 4.0)
    end(limits, 5.0)
    assert len(told) == 3


def test_answer_without_a_limit_opens_the_endpoint_by_steps():
    """One that names it again closes it at once, at the host that owns permits too."""
    limits = EndpointLimits()
    news: list[str] = []
    limits.on_news = news.append
    limits.observe_named(E1, 2.0, 0.9, 1.0)
    assert not limits.observe_unnamed(E1, 2.0)
    assert limits.limit(E1, 13.0) == 4.0
    assert not limits.observe_unnamed(E1, 3.0)
    assert limits.limit(E1, 13.0) == 8.0
    assert not limits.observe_named(E1, 2.0, 2.5, 4.0)
    assert limits.limit(E1, 13.0) == 2.0
    assert news == [E1] * 4
    assert limits.tell(E1, 5.0) == ToldLimit(E1, 2.0, 1.0)


def test_answer_that_was_begun_before_the_limit_was_named_does_not_end_it():
    """Answers overtake each other; nor does such a one raise the limit."""
    limits = EndpointLimits()
    limits.observe_named(E1, 2.0, 0.9, 1.0)
    end(limits, 1.0 - UNNAMED_ANSWERS_TO_END)
    assert not limits.observe_named(E1, 5.0, 0.5, 3.0)
    assert limits.limit(E1, 13.0) == 2.0
    assert limits.observe_named(E1, 5.0, 1.5, 3.0)
    assert limits.limit(E1, 13.0) == 5.0


def test_end_of_a_limit_is_told_for_a_while():
    """Else a host that heard of it before would spread it again."""
    limits = EndpointLimits()
    limits.observe_named(E1, 2.0, 0.9, 1.0)
    end(limits, 2.0)
    ended = 2.0 + UNNAMED_ANSWERS_TO_END - 1
    told = ToldLimit(E1, None, 1.0, UNNAMED_ANSWERS_TO_END)
    assert limits.told(ended + 1.0) == (told,)
    assert limits.told(ended + ENDED_MEMORY_SECONDS) == ()


def test_nothing_is_sent_before_a_permit_may_be_asked_for():
    """The end of the limit ends the wait too."""
    limits = EndpointLimits()
    limits.observe_named(E1, 2.0, 0.9, 1.0)
    limits.close(E1, 15.0)
    assert limits.wait(E1, 14.0) == 1.0
    assert limits.wait(E1, 15.0) == 0.0
    end(limits, 4.0)
    assert limits.wait(E1, 14.0) == 0.0


def test_new_owner_of_permits_has_none_in_hand():
    """Those that the owner before gave count in the same window."""
    bucket = PermitBucket(2.0, 10.0)
    assert not bucket.take(10.0)
    assert bucket.wait(10.0) == 0.5
    assert bucket.take(10.5)
    given = sum(bucket.take(100.0) for _ in range(10))
    assert given == 2


def test_endpoint_that_takes_nothing_is_asked_now_and_then():
    """Else the end of its limit would never be heard."""
    bucket = PermitBucket(0.0, 0.0)
    assert bucket.wait(0.0) == 1.0 / MIN_PER_SECOND
