"""Builds settings and events for tests, and a driver that checks the rules on every action."""

from __future__ import annotations

from dataclasses import replace

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

SAFE = RequestClass("read", Idempotency.IDEMPOTENT, IdempotencyScope.ALL, 5.0, 1.0, 4.0, 0.0, 1.0, False)
KEYED = RequestClass(
    "keyed", Idempotency.IDEMPOTENCY_KEY, IdempotencyScope.CELL, 3.0, 1.0, 4.0, 0.0, 1.0, False
)
ONCE = RequestClass("pay", Idempotency.NON_IDEMPOTENT, IdempotencyScope.ALL, 5.0, 2.0, 6.0, 0.0, 5.0, False)
PLAN = Plan("small", 4.0, 8.0, 0, 0.0, 0.0, 1.0, 0.0, 1.0)
CAPPED = Plan("capped", 4.0, 8.0, 0, 6.0, 12.0, 1.0, 0.0, 1.0)
OPEN = Plan("open", 0.0, 0.0, 2, 0.0, 0.0, 1.0, 0.0, 1.0)

SETTINGS = Settings(
    gateway_index=0,
    gateway_count=2,
    request_classes=(SAFE, KEYED, ONCE),
    plans=(PLAN, CAPPED, OPEN),
    zone="z",
    endpoint_list_pushed=True,
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
    settles_actual_units=False,
)


def backend(
    name: str, cell: int = 0, status: EndpointStatus = EndpointStatus.SERVING, started: float | None = None
) -> Endpoint:
    return Endpoint(name, "z", "k", cell, status, 1.0, started)


def backends(*entries: Endpoint, kind: EndpointListKind = EndpointListKind.FULL) -> EndpointListUpdate:
    return EndpointListUpdate(kind, entries)


def request(
    number: int,
    klass: str = "read",
    plan: str = "small",
    customer: str = "c",
    units: float = 1.0,
    deadline: float = 104.0,
    width: int = 2,
) -> RequestReceived:
    return RequestReceived(number, klass, plan, customer, deadline, units, width, 0, False)


def ended(
    number: int,
    attempt: int,
    where: str,
    outcome: Outcome,
    elapsed: float = 0.1,
    over: bool | None = None,
    true_units: float = 0.0,
) -> AttemptEnded:
    final = outcome is Outcome.SUCCESS if over is None else over
    return AttemptEnded(number, attempt, where, outcome, elapsed, final, true_units, ())


def gateway(now: float = 100.0, listed: EndpointListUpdate | None = None, **changes: object) -> PolicyEngine:
    made = PolicyEngine(replace(SETTINGS, **changes), 1, now)  # type: ignore[arg-type]
    made.handle(listed or backends(backend("a"), backend("b", 1)), now)
    return made


class EngineHarness:
    """Plays a client, backends and timers around one gateway and asserts the rules on each action."""

    def __init__(self, made: PolicyEngine, settings: Settings = SETTINGS) -> None:
        self.gateway, self.settings = made, settings
        self.classes = {c.name: c for c in settings.request_classes}
        self.now = 100.0
        self.open: dict[int, RequestReceived] = {}
        self.answered: dict[int, Action] = {}
        self.sent: dict[int, list[tuple[str, float]]] = {}
        self.outcomes: dict[int, dict[int, Outcome]] = {}
        self.timers: list[tuple[float, str]] = []
        self.counts: list[str] = []
        self.listed: dict[str, Endpoint] = {}
        self.first_units: dict[str, list[tuple[float, float]]] = {}

    def out(self, number: int) -> list[int]:
        return [n for n in range(len(self.sent.get(number, []))) if n not in self.outcomes.get(number, {})]

    def tell(self, event: Event) -> list[Action]:
        if isinstance(event, EndpointListUpdate) and event.kind is not EndpointListKind.FAILED:
            if event.kind is not EndpointListKind.DELTA:
                self.listed = {}
            self.listed.update({b.endpoint_id: b for b in event.endpoints})
        if isinstance(event, RequestReceived):
            self.open[event.request_id] = event
        if isinstance(event, AttemptEnded):
            self.outcomes.setdefault(event.request_id, {})[event.attempt_index] = event.outcome
            if event.request_answered:
                self.open.pop(event.request_id, None)
        if isinstance(event, ClientDisconnected):
            self.open.pop(event.request_id, None)
        actions = self.gateway.handle(event, self.now)
        for action in actions:
            self.check(action)
        return actions

    def risky(self, number: int) -> list[int]:
        gone = self.outcomes.get(number, {})
        return [
            n
            for n in range(len(self.sent.get(number, [])))
            if n not in gone or not gone[n].proves_not_executed
        ]

    def check(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            assert action.delay > 0
            self.timers.append((self.now + action.delay, encode_timer(action.timer)))
        elif isinstance(action, IncrementCounter):
            self.counts.append(action.name)
        elif isinstance(action, StartAttempt):
            asked = self.open[action.request_id]  # a send for a request that is over breaks a rule
            klass, tries = self.classes[asked.request_class], self.sent.setdefault(action.request_id, [])
            target = self.listed[action.endpoint_id]
            assert target.status is EndpointStatus.SERVING
            assert self.settings.hedging_allowed or not self.out(action.request_id)
            assert len(tries) < self.settings.max_attempts
            risky = self.risky(action.request_id)
            if risky:
                assert klass.idempotency is not Idempotency.NON_IDEMPOTENT
                if klass.idempotency is Idempotency.IDEMPOTENCY_KEY:
                    where, when = tries[risky[0]]
                    assert (
                        self.listed[where].cell == target.cell
                        or klass.idempotency_scope is IdempotencyScope.ALL
                    )
                    assert self.now - when < klass.idempotency_window
            if not tries:
                self.first_units.setdefault(asked.customer, []).append((self.now, asked.units))
            tries.append((action.endpoint_id, self.now))
        elif isinstance(action, Reject | FailRequest):
            asked = self.open.pop(action.request_id)  # a second answer breaks a rule
            assert self.now <= asked.deadline + 0.008
            klass = self.classes[asked.request_class]
            if isinstance(action, Reject) and self.risky(action.request_id):
                assert klass.idempotency is Idempotency.IDEMPOTENT or (
                    klass.idempotency is Idempotency.IDEMPOTENCY_KEY
                    and klass.idempotency_scope is IdempotencyScope.ALL
                )
            self.answered[action.request_id] = action

    def run_to(self, until: float) -> None:
        """Fires the timers that fall due, and times out attempts at their requests' deadlines."""
        while True:
            due = min(self.timers, default=(until + 1, ""))
            ends = [(r.deadline, n) for n, r in self.open.items() if self.out(n)]
            late = min(ends, default=(until + 1, 0))
            if min(due[0], late[0]) > until:
                break
            if due[0] <= late[0]:
                self.timers.remove(due)
                self.now = max(self.now, due[0])
                self.tell(TimerFired(decode_timer(due[1])))
            else:
                self.now = max(self.now, late[0])
                for n in self.out(late[1]):
                    where, when = self.sent[late[1]][n]
                    self.tell(ended(late[1], n, where, Outcome.TIMED_OUT, self.now - when, False))
        self.now = until

    def answer_counts(self, total: float, outcome: Outcome = Outcome.SUCCESS) -> None:
        names, self.counts = self.counts, []
        for name in names:
            self.tell(CounterReply(name, outcome, 0.001, total))
