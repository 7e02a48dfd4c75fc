"""Settings and events for policy engine tests, and a harness that checks every action of the engine."""

from __future__ import annotations

import heapq
from dataclasses import replace
from typing import NamedTuple

from quota_gateway.engine.policy_engine import PolicyEngine
from quota_gateway.model.actions import Action, FailRequest, IncrementCounter, Reject, SetTimer, StartAttempt
from quota_gateway.model.endpoints import Endpoint, EndpointListKind, EndpointStatus
from quota_gateway.model.events import (
    AttemptEnded,
    ClientDisconnected,
    CounterReply,
    EndpointListUpdate,
    Event,
    RequestReceived,
    TimerFired,
)
from quota_gateway.model.outcomes import Outcome
from quota_gateway.model.settings import Idempotency, IdempotencyScope, Plan, RequestClass, Settings
from quota_gateway.model.timers import decode_timer, encode_timer

START_TIME = 100.0  # seconds; the time at which engines start
COUNTER_LATENCY = 0.001  # seconds until the counter replies
RESPONSE_DELAY_TOLERANCE = 0.008  # seconds after its deadline by which a request must be answered
ENGINE_SEED = 1

IDEMPOTENT_CLASS = RequestClass(
    name="read",
    idempotency=Idempotency.IDEMPOTENT,
    idempotency_scope=IdempotencyScope.ALL,
    idempotency_window=5.0,
    latency_objective=1.0,
    deadline=4.0,
    late_value_ratio=0.0,
    priority_weight=1.0,
    streams_response=False,
)
KEYED_CLASS = replace(
    IDEMPOTENT_CLASS,
    name="keyed",
    idempotency=Idempotency.IDEMPOTENCY_KEY,
    idempotency_scope=IdempotencyScope.CELL,
    idempotency_window=3.0,
)
NON_IDEMPOTENT_CLASS = replace(
    IDEMPOTENT_CLASS,
    name="pay",
    idempotency=Idempotency.NON_IDEMPOTENT,
    latency_objective=2.0,
    deadline=6.0,
    priority_weight=5.0,
)

SMALL_PLAN = Plan(
    name="small",
    rate=4.0,
    burst=8.0,
    concurrency=0,
    hard_limit_rate=0.0,
    hard_limit_burst=0.0,
    priority_factor=1.0,
    over_quota_value=0.0,
    over_quota_cost=1.0,
)
CAPPED_PLAN = replace(SMALL_PLAN, name="capped", hard_limit_rate=6.0, hard_limit_burst=12.0)
CONCURRENCY_PLAN = replace(SMALL_PLAN, name="open", rate=0.0, burst=0.0, concurrency=2)

SETTINGS = Settings(
    gateway_index=0,
    gateway_count=2,
    request_classes=(IDEMPOTENT_CLASS, KEYED_CLASS, NON_IDEMPOTENT_CLASS),
    plans=(SMALL_PLAN, CAPPED_PLAN, CONCURRENCY_PLAN),
    zone="z",
    push_discovery_enabled=True,
    poll_interval=10.0,
    counter_enabled=True,
    counter_timeout=0.05,
    counter_call_cost=0.02,
    cancellation_allowed=True,
    health_checks_allowed=True,
    hedging_allowed=False,
    max_attempts=3,
    retry_after_allowed=True,
    max_retry_after=1.0,
    slow_start_minimum=0.25,
    slow_start_window=10.0,
    slow_start_overload_ratio=3.0,
    overload_duration=1.0,
    load_report_fields=(),
    max_request_units=4.0,
    charges_billed_units=False,
)


def make_endpoint(
    name: str, cell: int = 0, status: EndpointStatus = EndpointStatus.SERVING, started_at: float | None = None
) -> Endpoint:
    """Return an endpoint; `started_at` is its process's start time in seconds, None if unknown."""
    return Endpoint(name, "z", "k", cell, status, 1.0, started_at)


def endpoint_list_update(
    *entries: Endpoint, kind: EndpointListKind = EndpointListKind.FULL
) -> EndpointListUpdate:
    """Return an update of the endpoint list."""
    return EndpointListUpdate(kind, entries)


def make_request(
    number: int,
    request_class: str = "read",
    plan: str = "small",
    customer: str = "c",
    units: float = 1.0,
    deadline: float = START_TIME + 4.0,
    quota_spread: int = 2,
) -> RequestReceived:
    """Return a client's request; `quota_spread` is the number of gateways that share the customer's quota."""
    return RequestReceived(
        request_id=number,
        request_class=request_class,
        plan=plan,
        customer=customer,
        deadline=deadline,
        units=units,
        quota_spread=quota_spread,
        first_gateway_index=0,
        is_retry=False,
    )


def make_attempt_ended(
    number: int,
    attempt: int,
    endpoint_id: str,
    outcome: Outcome,
    elapsed: float = 0.1,
    request_answered: bool | None = None,
    billed_units: float = 0.0,
) -> AttemptEnded:
    """Return the event that ends an attempt; by default only a success answers the request."""
    request_answered = outcome is Outcome.SUCCESS if request_answered is None else request_answered
    return AttemptEnded(number, attempt, endpoint_id, outcome, elapsed, request_answered, billed_units, ())


def make_engine(
    now: float = START_TIME, endpoint_list: EndpointListUpdate | None = None, **changes: object
) -> PolicyEngine:
    """Return an engine with the given endpoint list, by default `a` and `b`, and with changed settings."""
    engine = PolicyEngine(replace(SETTINGS, **changes), ENGINE_SEED, now)  # type: ignore[arg-type]
    engine.handle(endpoint_list or endpoint_list_update(make_endpoint("a"), make_endpoint("b", 1)), now)
    return engine


class SentAttempt(NamedTuple):
    """The endpoint that an attempt was sent to, and the time in seconds."""

    endpoint_id: str
    sent_at: float


class SentUnits(NamedTuple):
    """The time in seconds of a request's first attempt, and the request's units."""

    sent_at: float
    units: float


class ScheduledTimer(NamedTuple):
    """A pending timer, ordered by due time and then by its encoded text, as in the simulator."""

    due_at: float
    text: str


class EngineHarness:
    """Simulates clients, backends and timers around one engine, and asserts invariants on each action.

    `open_requests` holds the unanswered requests, `responses` the action that rejected or failed a request,
    `sent` the attempts of each request, and `counter_calls` the names in counter calls without a reply.
    """

    def __init__(self, engine: PolicyEngine, settings: Settings = SETTINGS) -> None:
        self.engine = engine
        self.settings = settings
        self.classes = {request_class.name: request_class for request_class in settings.request_classes}
        self.now = START_TIME
        self.open_requests: dict[int, RequestReceived] = {}
        self.responses: dict[int, Action] = {}
        self.sent: dict[int, list[SentAttempt]] = {}
        self.outcomes: dict[int, dict[int, Outcome]] = {}
        self.timers: list[ScheduledTimer] = []
        self.counter_calls: list[str] = []
        self.endpoints: dict[str, Endpoint] = {}
        self.first_attempts: dict[str, list[SentUnits]] = {}

    def in_flight(self, number: int) -> list[int]:
        """Return the indices of a request's attempts that are in flight."""
        outcomes = self.outcomes.get(number, {})
        return [index for index in range(len(self.sent.get(number, []))) if index not in outcomes]

    def possibly_executed(self, number: int) -> list[int]:
        """Return the indices of a request's attempts that a backend may have executed or may yet execute."""
        outcomes = self.outcomes.get(number, {})
        return [
            index
            for index in range(len(self.sent.get(number, [])))
            if index not in outcomes or not outcomes[index].proves_not_executed
        ]

    def handle(self, event: Event) -> list[Action]:
        """Pass an event to the engine at the current time; check and return the engine's actions."""
        self.record(event)
        actions = self.engine.handle(event, self.now)
        for action in actions:
            self.check(action)
        return actions

    def record(self, event: Event) -> None:
        """Update the endpoints, open requests and outcomes from an event."""
        match event:
            case EndpointListUpdate(kind=EndpointListKind.FAILED):
                pass
            case EndpointListUpdate(kind=kind, endpoints=endpoints):
                if kind is not EndpointListKind.DELTA:
                    self.endpoints = {}
                self.endpoints.update({endpoint.endpoint_id: endpoint for endpoint in endpoints})
            case RequestReceived(request_id=number):
                self.open_requests[number] = event
            case AttemptEnded(request_id=number, attempt_index=index, outcome=outcome):
                self.outcomes.setdefault(number, {})[index] = outcome
                if event.request_answered:
                    self.open_requests.pop(number, None)
            case ClientDisconnected(request_id=number):
                self.open_requests.pop(number, None)

    def check(self, action: Action) -> None:
        """Assert the invariants on one action, and record it."""
        match action:
            case SetTimer():
                assert action.delay > 0
                timer = ScheduledTimer(self.now + action.delay, encode_timer(action.timer))
                heapq.heappush(self.timers, timer)
            case IncrementCounter():
                self.counter_calls.append(action.name)
            case StartAttempt():
                self.check_attempt(action)
            case Reject() | FailRequest():
                self.check_response(action)

    def check_attempt(self, action: StartAttempt) -> None:
        """Assert that an attempt has an open request and a serving endpoint, and that settings allow it."""
        request = self.open_requests[action.request_id]  # raises KeyError if the request was answered
        attempts = self.sent.setdefault(action.request_id, [])
        endpoint = self.endpoints[action.endpoint_id]
        assert endpoint.status is EndpointStatus.SERVING
        assert self.settings.hedging_allowed or not self.in_flight(action.request_id)
        assert len(attempts) < self.settings.max_attempts
        possibly_executed = self.possibly_executed(action.request_id)
        if possibly_executed:
            first = attempts[possibly_executed[0]]
            self.check_idempotency(self.classes[request.request_class], first, endpoint)
        if not attempts:
            sent_units = SentUnits(self.now, request.units)
            self.first_attempts.setdefault(request.customer, []).append(sent_units)
        attempts.append(SentAttempt(action.endpoint_id, self.now))

    def check_idempotency(self, request_class: RequestClass, first: SentAttempt, endpoint: Endpoint) -> None:
        """Assert that the idempotency of a possibly executed request allows another attempt."""
        assert request_class.idempotency is not Idempotency.NON_IDEMPOTENT
        if request_class.idempotency is Idempotency.IDEMPOTENCY_KEY:
            same_cell = self.endpoints[first.endpoint_id].cell == endpoint.cell
            assert same_cell or request_class.idempotency_scope is IdempotencyScope.ALL
            assert self.now - first.sent_at < request_class.idempotency_window

    def check_response(self, action: Reject | FailRequest) -> None:
        """Assert that a request is answered once and in time, and rejected only if a retry is safe."""
        request = self.open_requests.pop(action.request_id)  # raises KeyError if the request was answered
        assert self.now <= request.deadline + RESPONSE_DELAY_TOLERANCE
        request_class = self.classes[request.request_class]
        if isinstance(action, Reject) and self.possibly_executed(action.request_id):
            assert request_class.idempotency is Idempotency.IDEMPOTENT or (
                request_class.idempotency is Idempotency.IDEMPOTENCY_KEY
                and request_class.idempotency_scope is IdempotencyScope.ALL
            )
        self.responses[action.request_id] = action

    def run_until(self, until: float) -> None:
        """Advance the time, firing timers and timing out attempts at their requests' deadlines."""
        never = until + 1.0
        while True:
            timer_due_at = self.timers[0].due_at if self.timers else never
            deadlines = (
                (request.deadline, number)
                for number, request in self.open_requests.items()
                if self.in_flight(number)
            )
            deadline, number = min(deadlines, default=(never, 0))
            if min(timer_due_at, deadline) > until:
                break
            if timer_due_at <= deadline:
                self.now = max(self.now, timer_due_at)
                self.handle(TimerFired(decode_timer(heapq.heappop(self.timers).text)))
            else:
                self.now = max(self.now, deadline)
                self.time_out_attempts(number)
        self.now = until

    def time_out_attempts(self, number: int) -> None:
        """Time out all attempts of a request that are in flight."""
        for index in self.in_flight(number):
            attempt = self.sent[number][index]
            elapsed = self.now - attempt.sent_at
            self.handle(
                make_attempt_ended(number, index, attempt.endpoint_id, Outcome.TIMED_OUT, elapsed, False)
            )

    def reply_to_counter_calls(self, total: float, outcome: Outcome = Outcome.SUCCESS) -> None:
        """Reply to all pending counter calls with the same total or failure."""
        names = self.counter_calls
        self.counter_calls = []
        for name in names:
            self.handle(CounterReply(name, outcome, COUNTER_LATENCY, total))
