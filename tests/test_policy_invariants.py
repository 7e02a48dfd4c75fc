"""Invariants of every request, checked under random events and in a test for each fault found before."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum, auto

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from quota_gateway.model.actions import FailRequest, Reject
from quota_gateway.model.endpoints import EndpointListKind, EndpointStatus
from quota_gateway.model.events import ClientDisconnected
from quota_gateway.model.outcomes import Outcome
from tests.policy_assertions import first_attempt, started_attempts
from tests.policy_harness import (
    CAPPED_PLAN,
    EngineHarness,
    endpoint_list_update,
    make_attempt_ended,
    make_endpoint,
    make_engine,
    make_request,
)

ENDPOINT_IDS = ("a", "b", "c", "d")
REQUEST_CLASSES = ("read", "keyed", "pay")
PLANS = ("small", "capped", "open")
STATUSES = (EndpointStatus.SERVING, EndpointStatus.DRAINING, EndpointStatus.REMOVED)
OUTCOMES = (
    Outcome.SUCCESS,
    Outcome.ERROR,
    Outcome.REJECTED,
    Outcome.CONNECT_FAILED,
    Outcome.BROKEN_RESPONSE,
    Outcome.NOT_SENT,
    Outcome.CANCELLED,
)
GATEWAYS = 2  # gateways that share each quota
MIN_STEPS = 20  # steps of an example; shorter examples missed a retry that idempotency forbids
MAX_STEPS = 60  # steps of an example
TOLERANCE = 1e-6  # units; rounding error of summed floats


class StepKind(Enum):
    REQUEST = auto()
    ATTEMPT_END = auto()
    WAIT = auto()
    CLIENT_DISCONNECT = auto()
    ENDPOINT_STATUS = auto()
    COUNTER_REPLY = auto()
    COUNTER_TIMEOUT = auto()


@dataclass(frozen=True, slots=True)
class Step:
    kind: StepKind
    pick: int  # selects the step's target and values
    seconds: float  # sets how long to wait, or how long a request has until its deadline


STEP = st.builds(
    Step,
    # ATTEMPT_END is listed twice, so that attempts end about as often as they start.
    kind=st.sampled_from([*StepKind, StepKind.ATTEMPT_END]),
    pick=st.integers(0, 10**6),
    seconds=st.floats(0.0, 1.5),
)


class RandomEvents:
    """Applies steps to an engine whose harness asserts the invariants on each action."""

    def __init__(self) -> None:
        self.harness = EngineHarness(make_engine())
        self.request_count = 0
        listed = (make_endpoint(name, index // 2) for index, name in enumerate(ENDPOINT_IDS))
        self.harness.handle(endpoint_list_update(*listed))

    def play(self, step: Step) -> None:
        harness = self.harness
        match step.kind:
            case StepKind.REQUEST:
                self.send_request(step)
            case StepKind.ATTEMPT_END:
                self.end_attempt(step)
            case StepKind.WAIT:
                harness.run_until(harness.now + step.seconds)
            case StepKind.CLIENT_DISCONNECT if harness.open_requests:
                request_ids = sorted(harness.open_requests)
                harness.handle(ClientDisconnected(request_ids[step.pick % len(request_ids)]))
            case StepKind.ENDPOINT_STATUS:
                self.change_endpoint(step)
            case StepKind.COUNTER_REPLY:
                harness.reply_to_counter_calls(float(step.pick % 20))
            case StepKind.COUNTER_TIMEOUT:
                harness.reply_to_counter_calls(0.0, Outcome.TIMED_OUT)

    def send_request(self, step: Step) -> None:
        self.request_count += 1
        request_class = REQUEST_CLASSES[step.pick % 3]
        plan = PLANS[step.pick // 3 % 3]
        customer = plan + str(step.pick // 9 % 2)
        units = 1.0 + step.pick % 3
        deadline = self.harness.now + 0.2 + 3 * step.seconds
        self.harness.handle(make_request(self.request_count, request_class, plan, customer, units, deadline))

    def end_attempt(self, step: Step) -> None:
        harness = self.harness
        in_flight = [(number, index) for number in harness.sent for index in harness.in_flight(number)]
        if not in_flight:
            return
        number, index = in_flight[step.pick % len(in_flight)]
        outcome = OUTCOMES[step.pick // 7 % len(OUTCOMES)]
        answered = number not in harness.open_requests or outcome is Outcome.SUCCESS
        endpoint_id, sent_at = harness.sent[number][index]
        elapsed = harness.now - sent_at
        billed_units = 1.0 + step.pick % 5
        harness.handle(
            make_attempt_ended(number, index, endpoint_id, outcome, elapsed, answered, billed_units)
        )

    def change_endpoint(self, step: Step) -> None:
        status = STATUSES[step.pick % 3]
        index = step.pick // 3 % 4
        changed = make_endpoint(ENDPOINT_IDS[index], index // 2, status)
        self.harness.handle(endpoint_list_update(changed, kind=EndpointListKind.DELTA))


def assert_hard_limit_held(forwarded: Sequence[tuple[float, float]]) -> None:
    """Assert the gateway's share of the hard limit over every interval between two forwarded requests.

    `forwarded` holds the time in seconds and the units of each request.
    """
    burst = CAPPED_PLAN.hard_limit_burst / GATEWAYS
    rate = CAPPED_PLAN.hard_limit_rate / GATEWAYS
    for index, (start, _) in enumerate(forwarded):
        for end, _ in forwarded[index:]:
            total = sum(units for at, units in forwarded[index:] if at <= end)
            assert total <= burst + rate * (end - start) + TOLERANCE


@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.lists(STEP, min_size=MIN_STEPS, max_size=MAX_STEPS))
def test_random_events_break_no_rule(steps: list[Step]) -> None:
    events = RandomEvents()
    for step in steps:
        events.play(step)
    harness = events.harness
    harness.run_until(harness.now + 20)
    assert not harness.open_requests  # every request was answered; the harness asserts that it was only once
    for customer, forwarded in harness.first_attempts.items():
        if customer.startswith("capped"):
            assert_hard_limit_held(forwarded)
    for limiter in harness.engine.limiter_registry.limiters.values():
        assert limiter.balance <= limiter.capacity + TOLERANCE
        assert not limiter.queue
        assert abs(limiter.queued_units) < TOLERANCE
        assert limiter.in_flight >= 0
    assert all(pending.in_flight for pending in harness.engine.forwarder.requests.values())


def test_unexecuted_non_idempotent_request_is_rejected() -> None:
    engine = make_engine(endpoint_list=endpoint_list_update(make_endpoint("a")), max_attempts=1)
    engine.handle(make_request(1, "pay"), 100.0)
    assert isinstance(engine.handle(make_attempt_ended(1, 0, "a", Outcome.REJECTED), 100.1)[-1], Reject)


def test_possibly_executed_non_idempotent_request_fails() -> None:
    engine = make_engine(endpoint_list=endpoint_list_update(make_endpoint("a")), max_attempts=1)
    engine.handle(make_request(1, "pay"), 100.2)
    assert isinstance(
        engine.handle(make_attempt_ended(1, 0, "a", Outcome.BROKEN_RESPONSE), 100.3)[-1], FailRequest
    )


def test_keyed_request_is_retried_only_within_cell() -> None:
    """Only the endpoints of one cell recognize the idempotency key, so another cell may not get the retry."""
    engine = make_engine(endpoint_list=endpoint_list_update(make_endpoint("a", 0), make_endpoint("b", 1)))
    first = first_attempt(engine.handle(make_request(1, "keyed"), 100.0))
    retries = started_attempts(
        engine.handle(make_attempt_ended(1, 0, first.endpoint_id, Outcome.ERROR), 100.1)
    )
    assert [retry.endpoint_id for retry in retries] in ([], [first.endpoint_id])


@pytest.mark.parametrize(("request_class", "send_within"), [("keyed", 2.5), ("read", 0.0)])
def test_keyed_retry_is_bound_by_idempotency_window(request_class: str, send_within: float) -> None:
    """A retry with an idempotency key must be sent within the window; others have no such bound."""
    engine = make_engine(endpoint_list=endpoint_list_update(make_endpoint("a", 0), make_endpoint("b", 0)))
    first = first_attempt(engine.handle(make_request(1, request_class), 100.0))
    assert first.send_within == 0.0
    retry = first_attempt(engine.handle(make_attempt_ended(1, 0, first.endpoint_id, Outcome.ERROR), 100.5))
    assert retry.send_within == pytest.approx(send_within)  # the window is 3 s; 0 means no bound


def test_draining_endpoint_gets_no_requests() -> None:
    engine = make_engine(
        endpoint_list=endpoint_list_update(
            make_endpoint("a"), make_endpoint("b", status=EndpointStatus.DRAINING)
        )
    )
    for number in range(3):
        assert first_attempt(engine.handle(make_request(number), 100.0)).endpoint_id == "a"


def test_attempt_times_out_at_latency_objective() -> None:
    """Regression: on overloaded days, work whose result came too late occupied backends for seconds."""
    attempt = first_attempt(make_engine().handle(make_request(1, deadline=104.0), 100.0))
    assert attempt.timeout == 1.0  # the latency objective, as late responses of this class have no value


def test_number_of_learned_durations_is_bounded() -> None:
    """Clients choose the units of a request, so the engine must not learn a duration for each value."""
    engine = make_engine()
    for number in range(200):
        units = 1.0 + number / 1000
        attempts = started_attempts(
            engine.handle(make_request(number, customer=str(number), units=units), 100.0)
        )
        for attempt in attempts:
            engine.handle(make_attempt_ended(number, 0, attempt.endpoint_id, Outcome.SUCCESS), 100.0)
    assert 0 < len(engine.latency_estimates.response_times) <= 3
