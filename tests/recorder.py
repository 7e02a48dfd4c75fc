"""Plays seeded sequences of all kinds of events to the decisions, and writes down every action in full.

The recordings under tests/recorded were made before the code was renamed and split, so that a change which is
meant to keep every decision can be held against them. `python -m tests.recorder` makes them anew.
"""

from __future__ import annotations

import hashlib
import heapq
import json
import pathlib
import random
from dataclasses import replace
from typing import Any

from quota_gateway.engine.policy_engine import PolicyEngine
from quota_gateway.model.actions import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    DrainClientConnections,
    FailRequest,
    IncrementCounter,
    PollEndpoints,
    Reject,
    SetTimer,
    StartAttempt,
)
from quota_gateway.model.charges import UnitsCharged
from quota_gateway.model.endpoints import Endpoint, EndpointListKind, EndpointStatus
from quota_gateway.model.events import (
    AttemptEnded,
    ClientDisconnected,
    ClientHalfClosed,
    CounterReply,
    EndpointListUpdate,
    Event,
    HealthCheckResult,
    PeerProcessChanged,
    RequestBodyConsumed,
    RequestBodyReceived,
    RequestReceived,
    ResponseStreamStarted,
    SetDraining,
    SetMaintenance,
    StateSnapshot,
    TimerFired,
)
from quota_gateway.model.outcomes import Outcome
from quota_gateway.model.settings import Plan, Settings
from quota_gateway.model.timers import encode_timer
from tests.policy_harness import CAPPED, OPEN, PLAN, SETTINGS

FOLDER = pathlib.Path(__file__).parent / "recorded"
START = 1000.0  # seconds
SHORT_SEED, SHORT_STEPS = 1, 160
LONG_SEEDS, LONG_STEPS = range(2, 22), 2500
ENDPOINTS = tuple(f"e{number}" for number in range(9))
CLASSES = ("read", "read", "keyed", "pay")
PLANS = ("small", "small", "capped", "open", "wide", "extra")
WIDE = Plan("wide", 40.0, 80.0, 0, 0.0, 0.0, 1.0, 0.0, 1.0)
EXTRA = Plan("extra", 3.0, 6.0, 0, 0.0, 0.0, 1.0, 2.0, 1.0)
OUTCOMES = (
    Outcome.SUCCESS,
    Outcome.SUCCESS,
    Outcome.SUCCESS,
    Outcome.ERROR,
    Outcome.REJECTED,
    Outcome.TIMED_OUT,
    Outcome.CONNECT_FAILED,
    Outcome.BROKEN_RESPONSE,
    Outcome.NOT_SENT,
)
COUNTER_OUTCOMES = (
    Outcome.SUCCESS,
    Outcome.SUCCESS,
    Outcome.SUCCESS,
    Outcome.SUCCESS,
    Outcome.TIMED_OUT,
    Outcome.REJECTED,
    Outcome.CONNECT_FAILED,
)


def settings_of(chance: random.Random) -> Settings:
    """Settings that differ in what decides which branches are taken."""
    return replace(
        SETTINGS,
        gateway_index=1,
        gateway_count=chance.choice([2, 2, 6, 40]),
        plans=(PLAN, CAPPED, OPEN, WIDE, EXTRA),
        endpoint_list_pushed=chance.random() < 0.5,
        counter_enabled=chance.random() < 0.8,
        cancellation_allowed=chance.random() < 0.8,
        hedging_allowed=chance.random() < 0.3,
        retry_after_allowed=chance.random() < 0.8,
        settles_actual_units=chance.random() < 0.5,
    )


class Recorder:
    """Two engines as two processes of a gateway, with clients, backends and a counter around them."""

    def __init__(self, seed: int) -> None:
        self.chance = random.Random(seed)
        self.settings = settings_of(self.chance)
        self.now = START
        self.engines = [PolicyEngine(self.settings, seed, START)]
        self.pending: list[tuple[float, int, int, str, Any]] = []  # when, order, engine, what, and of whom
        self.order = self.number = 0
        self.lines: list[str] = []
        self.open: dict[tuple[int, int], list[int]] = {}  # by engine and request: attempts that are out
        self.sent: dict[tuple[int, int], list[tuple[str, float]]] = {}
        self.uploads: dict[tuple[int, int], float] = {}
        self.totals: dict[str, float] = {}
        self.tell(
            0, EndpointListUpdate(EndpointListKind.CACHED, tuple(self.endpoint(n) for n in ENDPOINTS[:6]))
        )

    def endpoint(self, name: str, status: EndpointStatus = EndpointStatus.SERVING) -> Endpoint:
        number = int(name[1:])
        started = self.chance.choice([None, None, self.now - 4.0 * self.chance.random(), self.now - 60.0])
        return Endpoint(name, "abc"[number % 3], f"k{number % 2}", number % 4, status, 1.0, started)

    def write(self, text: str) -> None:
        self.lines.append(text)

    def later(self, delay: float, engine: int, what: str, whom: Any) -> None:
        self.order += 1
        heapq.heappush(self.pending, (self.now + delay, self.order, engine, what, whom))

    def tell(self, engine: int, event: Event) -> None:
        self.write(f"{self.now!r} {engine} {type_name(event)}")
        for action in self.engines[engine].handle(event, self.now):
            self.write("  " + action_text(action))
            self.act(engine, action)

    def act(self, engine: int, action: Action) -> None:
        if isinstance(action, SetTimer):
            self.later(action.delay, engine, "timer", action.timer)
        elif isinstance(action, StartAttempt):
            key = (engine, action.request_id)
            attempts = self.sent.setdefault(key, [])
            self.open.setdefault(key, []).append(len(attempts))
            attempts.append((action.endpoint_id, self.now))
            took = self.chance.choice([0.02, 0.1, 0.3, 0.6]) * (0.5 + self.chance.random())
            if 0 < action.timeout < took:
                self.later(action.timeout, engine, "end", (action.request_id, len(attempts) - 1, "late"))
            else:
                self.later(took, engine, "end", (action.request_id, len(attempts) - 1, "any"))
        elif isinstance(action, CancelAttempt):
            self.later(0.0, engine, "end", (action.request_id, action.attempt_index, "cancelled"))
        elif isinstance(action, IncrementCounter):
            total = self.totals[action.name] = self.totals.get(action.name, 0.0) + action.amount
            total += self.chance.choice([0.0, 0.0, 1.0, 5.0])
            took = 0.001 + 0.06 * self.chance.random() ** 3
            self.later(took, engine, "count", (action.name, total, self.now))
        elif isinstance(action, UnitsCharged) and len(self.engines) > 1:
            self.later(0.002, 1 - engine, "charged", action)
        elif isinstance(action, Reject | FailRequest):
            self.uploads.pop((engine, action.request_id), None)

    def run_until(self, until: float) -> None:
        """Lets all happen that falls due by then."""
        while self.pending and self.pending[0][0] <= until:
            self.now, _, engine, what, whom = heapq.heappop(self.pending)
            if what == "timer":
                self.tell(engine, TimerFired(whom))
            elif what == "charged":
                self.tell(engine, whom)
            elif what == "count":
                name, total, since = whom
                outcome = self.chance.choice(COUNTER_OUTCOMES)
                self.tell(engine, CounterReply(name, outcome, self.now - since, total))
            else:
                self.end_attempt(engine, *whom)
        self.now = until

    def end_attempt(self, engine: int, request: int, attempt: int, how: str) -> None:
        key = (engine, request)
        if attempt not in self.open.get(key, ()):
            return
        if how == "any" and self.chance.random() < 0.06:
            self.tell(engine, ResponseStreamStarted(request, attempt, self.chance.choice([0.0, 0.2])))
            self.later(0.5 * self.chance.random(), engine, "end", (request, attempt, "streamed"))
            return
        self.open[key].remove(attempt)
        outcome = self.chance.choice(OUTCOMES)
        if how == "late":
            outcome = Outcome.TIMED_OUT
        elif how == "cancelled":
            outcome = Outcome.CANCELLED
        elif how == "streamed":
            outcome = Outcome.SUCCESS
        where, since = self.sent[key][attempt]
        over = outcome is Outcome.SUCCESS
        units = self.chance.choice([0.0, 0.0, 0.5, 1.0, 3.0])
        self.tell(engine, AttemptEnded(request, attempt, where, outcome, self.now - since, over, units, ()))

    def step(self) -> None:
        """One thing that comes from outside, after a while."""
        self.run_until(self.now + self.chance.choice([0.001, 0.01, 0.05, 0.3]) * self.chance.random())
        engine = self.chance.randrange(len(self.engines))
        pick = self.chance.random()
        if pick < 0.72:
            self.ask(engine)
        elif pick < 0.80:
            self.leave(engine)
        elif pick < 0.88:
            self.change_list(engine)
        elif pick < 0.92:
            self.advance_upload(engine)
        elif pick < 0.97:
            self.operate(engine)
        else:
            self.tell(engine, HealthCheckResult(self.chance.choice(ENDPOINTS), Outcome.SUCCESS, 0.01, ()))
            made = self.engines[engine]
            self.write(f"  avoided {made.unavailable_endpoints()} takes clients {made.accepts_clients()}")

    def ask(self, engine: int) -> None:
        self.number += 1
        klass, plan = self.chance.choice(CLASSES), self.chance.choice(PLANS)
        uploading = self.chance.random() < 0.05
        time = self.chance.choice([0.4, 1.0, 2.0, 4.0])
        spread = self.chance.choice([0, 1, 2, 6])
        request = RequestReceived(
            self.number,
            klass,
            plan,
            f"{plan}{self.chance.randrange(3)}",
            self.now + (900.0 if uploading else time),
            self.chance.choice([0.5, 1.0, 1.0, 2.0, 3.5]),
            spread,
            0,
            self.chance.random() < 0.25,
            self.chance.choice([0.0, time]),
            uploading,
        )
        if uploading:
            self.uploads[engine, self.number] = time
        self.tell(engine, request)

    def leave(self, engine: int) -> None:
        number = max(1, self.number - self.chance.randrange(6))
        gone = self.chance.random() < 0.5
        self.tell(engine, ClientDisconnected(number) if gone else ClientHalfClosed(number))

    def change_list(self, engine: int) -> None:
        kind = self.chance.choice(
            [
                EndpointListKind.DELTA,
                EndpointListKind.DELTA,
                EndpointListKind.DELTA,
                EndpointListKind.FULL,
                EndpointListKind.FAILED,
                EndpointListKind.CACHED,
            ]
        )
        if kind is EndpointListKind.FAILED:
            return self.tell(engine, EndpointListUpdate(kind, ()))
        if kind is EndpointListKind.DELTA:
            status = self.chance.choice(
                [
                    EndpointStatus.SERVING,
                    EndpointStatus.SERVING,
                    EndpointStatus.DRAINING,
                    EndpointStatus.REMOVED,
                ]
            )
            named = [self.endpoint(self.chance.choice(ENDPOINTS), status)]
        else:
            named = [self.endpoint(name) for name in ENDPOINTS if self.chance.random() < 0.8]
        return self.tell(engine, EndpointListUpdate(kind, tuple(named)))

    def advance_upload(self, engine: int) -> None:
        mine = [number for owner, number in self.uploads if owner == engine]
        if not mine:
            return
        number = self.chance.choice(mine)
        if self.chance.random() < 0.5:
            return self.tell(engine, RequestBodyConsumed(number))
        time = self.uploads.pop((engine, number))
        return self.tell(engine, RequestBodyReceived(number, self.now + time))

    def operate(self, engine: int) -> None:
        pick = self.chance.random()
        if pick < 0.55:
            self.tell(engine, SetMaintenance(self.chance.choice(ENDPOINTS), self.chance.random() < 0.4))
        elif pick < 0.75:
            self.tell(engine, SetDraining(self.chance.random() < 0.3))
        elif len(self.engines) == 1:
            self.start_successor()
        else:
            both = self.chance.random() < 0.7
            for number in range(2):
                self.tell(number, PeerProcessChanged(both))
            self.hand_over(engine, 1 - engine)

    def start_successor(self) -> None:
        self.engines.append(PolicyEngine(self.settings, 77, self.now))
        listed = tuple(s.endpoint for s in self.engines[0].endpoints.values())
        self.tell(1, EndpointListUpdate(EndpointListKind.CACHED, listed))
        self.hand_over(0, 1)
        for number in range(2):
            self.tell(number, PeerProcessChanged(True))

    def hand_over(self, old: int, new: int) -> None:
        state = json.dumps(self.engines[old].snapshot().state)
        self.write("  state " + state)
        self.tell(new, StateSnapshot(json.loads(state)))


def type_name(event: Event) -> str:
    """A word for each kind of event that stays the same whatever its type is called."""
    return EVENT_NAMES[type(event)]


EVENT_NAMES: dict[type, str] = {
    RequestReceived: "request",
    EndpointListUpdate: "endpoints",
    ClientDisconnected: "disconnected",
    ClientHalfClosed: "half closed",
    ResponseStreamStarted: "response stream",
    AttemptEnded: "attempt ended",
    CounterReply: "counter reply",
    HealthCheckResult: "health check",
    TimerFired: "timer",
    SetMaintenance: "maintenance",
    SetDraining: "draining",
    StateSnapshot: "restore",
    PeerProcessChanged: "peer",
    UnitsCharged: "charged",
    RequestBodyConsumed: "body consumed",
    RequestBodyReceived: "body received",
}


def action_text(action: Action) -> str:
    """An action with all its figures, in words that stay the same whatever its type is called."""
    if isinstance(action, StartAttempt):
        return f"send {action.request_id} {action.endpoint_id} {action.timeout!r} {action.send_within!r}"
    if isinstance(action, Reject):
        return f"reject {action.request_id} {action.retry_after!r}"
    if isinstance(action, FailRequest):
        return f"fail {action.request_id}"
    if isinstance(action, CancelAttempt):
        return f"cancel {action.request_id} {action.attempt_index}"
    if isinstance(action, SetTimer):
        return f"timer {action.delay!r} {encode_timer(action.timer)}"
    if isinstance(action, IncrementCounter):
        return f"count {action.name} {action.amount!r} {action.expire_after!r}"
    if isinstance(action, CloseIdleConnections):
        return f"close idle {action.endpoint_id}"
    if isinstance(action, DrainClientConnections):
        return f"drain clients {action.enabled}"
    if isinstance(action, UnitsCharged):
        return f"charged {action.customer} {action.plan} {action.quota_spread} {action.units!r}"
    assert isinstance(action, PollEndpoints)
    return "poll"


def play(seed: int, steps: int) -> list[str]:
    """The lines of one sequence."""
    recorder = Recorder(seed)
    for _ in range(steps):
        recorder.step()
    recorder.run_until(recorder.now + 10.0)
    return recorder.lines


def digest(lines: list[str]) -> str:
    return hashlib.sha256("\n".join(lines).encode()).hexdigest()


def main() -> None:
    FOLDER.mkdir(exist_ok=True)
    (FOLDER / "decisions.txt").write_text("\n".join(play(SHORT_SEED, SHORT_STEPS)) + "\n")
    rows = [f"{seed} {digest(play(seed, LONG_STEPS))}" for seed in LONG_SEEDS]
    (FOLDER / "decisions.sha256").write_text("\n".join(rows) + "\n")


if __name__ == "__main__":
    main()
