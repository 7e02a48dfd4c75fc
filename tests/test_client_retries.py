"""Retries by clients: their age, which of them are admitted, and the Retry-After of rejections."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from quota_gateway.engine.policy_engine import PolicyEngine
from quota_gateway.model.actions import Action, Reject
from quota_gateway.model.events import Event, RequestReceived
from quota_gateway.policy.request_lifecycle import LATE_RETRY_LIMIT_FRACTION
from tests.harness import request as http_request
from tests.harness import running_gateway
from tests.policy_assertions import first_attempt, limiter_of, started_attempts
from tests.policy_harness import IDEMPOTENT_CLASS, make_engine, make_request

DEADLINE = IDEMPOTENT_CLASS.deadline  # seconds after a client's first send
OBJECTIVE = IDEMPOTENT_CLASS.latency_objective  # seconds after a client's first send


def retry(number: int, client_timeout: float) -> RequestReceived:
    """Return a retry, received at 100 s, whose client waits for `client_timeout` seconds."""
    received = make_request(number, customer=f"x{number}", deadline=100.0 + client_timeout)
    return replace(received, is_retry=True, client_timeout=client_timeout)


def retry_of_age(number: int, age: float) -> RequestReceived:
    """Return a retry whose client first sent the request `age` seconds ago."""
    return retry(number, DEADLINE - age)


def busy_engine(client_timeout: float = DEADLINE, **changes: Any) -> PolicyEngine:
    """Return an engine that has handled a first send, and has no capacity left for late retries."""
    engine = make_engine(**changes)
    engine.handle(replace(make_request(1, customer="first"), client_timeout=client_timeout), 100.0)
    engine.admission.concurrency_limit = engine.admission.in_flight / LATE_RETRY_LIMIT_FRACTION
    return engine


def test_late_retry_is_rejected_and_not_charged() -> None:
    """Regression: on a busy day half of all arrivals were retries that used capacity and quota in vain."""
    engine = busy_engine()
    (rejection,) = engine.handle(retry_of_age(2, 1.5 * OBJECTIVE), 100.0)
    assert isinstance(rejection, Reject) and rejection.retry_after > 0
    limiter = limiter_of(engine, "x2")
    assert limiter.balance == limiter.capacity


def test_timely_retry_and_new_request_are_forwarded() -> None:
    """A gateway without free capacity rejects only late retries."""
    engine = busy_engine()
    engine.handle(retry_of_age(2, 1.5 * OBJECTIVE), 100.0)
    assert started_attempts(engine.handle(retry_of_age(3, 0.3 * OBJECTIVE), 100.0))
    assert started_attempts(engine.handle(make_request(4, customer="new"), 100.0))


def test_late_retry_is_forwarded_with_free_capacity() -> None:
    engine = busy_engine()
    engine.admission.concurrency_limit = float("inf")
    for number in (2, 3):
        assert started_attempts(engine.handle(retry(number, 1.0), 100.0))


def test_late_retry_is_rejected_with_little_quota() -> None:
    engine = busy_engine()
    engine.admission.concurrency_limit = float("inf")
    assert started_attempts(engine.handle(retry(2, 1.0), 100.0))
    limiter = limiter_of(engine, "x2")
    limiter.balance = limiter.capacity / 4  # less than half, which is reserved for new requests
    second_retry = replace(retry(4, 1.0), customer="x2")
    assert [type(action) for action in engine.handle(second_retry, 100.0)] == [Reject]


@pytest.mark.parametrize(
    ("client_timeout", "max_retry_after", "is_forwarded"),
    [
        pytest.param(2.0, 1.0, False, id="as old as the objective by Retry-After alone"),
        pytest.param(2.0, 0.3, True, id="younger than the objective"),
        pytest.param(3.9, 1.0, True, id="no older than its timeout allows"),
    ],
)
def test_age_of_retry_with_unchanged_timeout(
    client_timeout: float, max_retry_after: float, is_forwarded: bool
) -> None:
    """A retry with the timeout of a first send is considered as old as the longest Retry-After."""
    engine = busy_engine(client_timeout, max_retry_after=max_retry_after)
    attempts = started_attempts(engine.handle(retry(2, client_timeout), 100.0))
    assert bool(attempts) == is_forwarded


def test_retry_with_unchanged_timeout_may_be_new() -> None:
    """Without Retry-After, a retry with the timeout of a first send counts as new."""
    engine = busy_engine(2.0, retry_after_allowed=False)
    assert started_attempts(engine.handle(retry(2, 2.0), 100.0))


def test_old_retry_is_forwarded_if_late_responses_count() -> None:
    engine = busy_engine(request_classes=(replace(IDEMPOTENT_CLASS, late_value_ratio=0.6),))
    assert started_attempts(engine.handle(retry_of_age(2, 1.5 * OBJECTIVE), 100.0))


def test_retry_attempt_timeout_counts_from_first_send() -> None:
    """An attempt of a retry times out when one of its first send would."""
    attempt = first_attempt(busy_engine().handle(retry_of_age(2, 0.4 * OBJECTIVE), 100.0))
    assert attempt.timeout == pytest.approx(0.6 * OBJECTIVE)


def test_retry_queue_time_counts_from_first_send() -> None:
    """A retry is queued no longer than its first send would be."""
    engine = busy_engine()
    engine.handle(retry_of_age(2, 0.4 * OBJECTIVE), 100.0)
    limiter = limiter_of(engine, "x2")
    limiter.balance = 1.0 - 0.3 * limiter.rate  # one unit is available in 0.3 s
    # The retry has 0.2 s left of its objective of 1 s; a new request may be queued for 0.4 s.
    old_retry = replace(retry_of_age(3, 0.8 * OBJECTIVE), customer="x2")
    assert any(isinstance(action, Reject) for action in engine.handle(old_retry, 100.0))
    new_request = make_request(4, customer="x2")
    assert not any(isinstance(action, Reject) for action in engine.handle(new_request, 100.0))


async def test_engine_receives_client_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    received: list[RequestReceived] = []
    handle = PolicyEngine.handle

    def recording_handle(self: PolicyEngine, event: Event, now: float) -> list[Action]:
        if isinstance(event, RequestReceived):
            received.append(event)
        return handle(self, event, now)

    monkeypatch.setattr(PolicyEngine, "handle", recording_handle)
    async with running_gateway() as harness:
        client = await harness.connect_client()
        status, _, _ = await client.exchange(http_request(1, budget=3.25, X_Again="1"))
        assert status == 200
    assert [(event.client_timeout, event.is_retry) for event in received] == [(3.25, True)]


def retry_after(engine: PolicyEngine, received: RequestReceived) -> float:
    """Return the Retry-After, in seconds, of a request's rejection."""
    rejections = [action for action in engine.handle(received, 100.0) if isinstance(action, Reject)]
    return rejections[0].retry_after


def engine_with_empty_bucket() -> PolicyEngine:
    """Return an engine whose bucket of 4 units, which refills at 2 units/s, has just been emptied."""
    engine = make_engine()
    engine.handle(make_request(1, units=4.0), 100.0)
    return engine


def test_retry_after_equals_quota_wait_if_timely() -> None:
    assert retry_after(engine_with_empty_bucket(), make_request(2)) == pytest.approx(0.5)


def test_retry_after_is_short_if_quota_is_late() -> None:
    """Regression: after half a second or more, retries came too late to be served in time by any gateway."""
    engine = engine_with_empty_bucket()
    short_delay = 0.15 * OBJECTIVE
    # This gateway has enough quota only in 1.5 s.
    assert retry_after(engine, make_request(2, units=3.0)) == pytest.approx(short_delay)


def test_retry_after_is_short_while_shedding_load() -> None:
    engine = make_engine()
    engine.admission.concurrency_limit = -1.0
    assert retry_after(engine, make_request(3)) == pytest.approx(0.15 * OBJECTIVE)


def test_retry_after_is_zero_if_not_allowed() -> None:
    engine = make_engine(retry_after_allowed=False)
    engine.admission.concurrency_limit = -1.0
    assert retry_after(engine, make_request(4)) == 0.0
