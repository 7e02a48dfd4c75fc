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

from quota_gateway.policy.engine import Gateway
from quota_gateway.policy.state_snapshot import estate_of
from quota_gateway.model.actions import (
    Action,
    Cancel,
    Count,
    Dismiss,
    Fail,
    Refuse,
    Rest,
    Send,
    SetTimer,
    Subscribe,
)
from quota_gateway.model.charges import Charged
from quota_gateway.model.endpoints import Backend, ListKind, Status
from quota_gateway.model.events import (
    AttemptEnded,
    BackendList,
    BodySpent,
    ClientLeft,
    Counted,
    Drain,
    Estate,
    Event,
    Maintain,
    Paired,
    Probed,
    Request,
    StreamBegun,
    TimerDue,
    Unwanted,
    Uploaded,
)
from quota_gateway.model.outcomes import Outcome
from quota_gateway.model.settings import Plan, Settings
from quota_gateway.policy.maintenance import avoided
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
    Outcome.SERVED,
    Outcome.SERVED,
    Outcome.SERVED,
    Outcome.ERROR,
    Outcome.TURNED_AWAY,
    Outcome.TIMED_OUT,
    Outcome.NO_CONNECTION,
    Outcome.BROKEN,
    Outcome.NOT_SENT,
)
COUNTER_OUTCOMES = (
    Outcome.SERVED,
    Outcome.SERVED,
    Outcome.SERVED,
    Outcome.SERVED,
    Outcome.TIMED_OUT,
    Outcome.TURNED_AWAY,
    Outcome.NO_CONNECTION,
)


def settings_of(chance: random.Random) -> Settings:
    """Settings that differ in what decides which branches are taken."""
    return replace(
        SETTINGS,
        me=1,
        gateways=chance.choice([2, 2, 6, 40]),
        plans=(PLAN, CAPPED, OPEN, WIDE, EXTRA),
        list_pushed=chance.random() < 0.5,
        counter=chance.random() < 0.8,
        may_cancel=chance.random() < 0.8,
        second_copies=chance.random() < 0.3,
        retry_after=chance.random() < 0.8,
        settles=chance.random() < 0.5,
    )


class Recorder:
    """Two engines as two processes of a gateway, with clients, backends and a counter around them."""

    def __init__(self, seed: int) -> None:
        self.chance = random.Random(seed)
        self.settings = settings_of(self.chance)
        self.now = START
        self.engines = [Gateway(self.settings, seed, START)]
        self.pending: list[tuple[float, int, int, str, Any]] = []  # when, order, engine, what, and of whom
        self.order = self.number = 0
        self.lines: list[str] = []
        self.open: dict[tuple[int, int], list[int]] = {}  # by engine and request: attempts that are out
        self.sent: dict[tuple[int, int], list[tuple[str, float]]] = {}
        self.uploads: dict[tuple[int, int], float] = {}
        self.totals: dict[str, float] = {}
        self.tell(0, BackendList(ListKind.REMEMBERED, tuple(self.endpoint(n) for n in ENDPOINTS[:6])))

    def endpoint(self, name: str, status: Status = Status.SERVING) -> Backend:
        number = int(name[1:])
        started = self.chance.choice([None, None, self.now - 4.0 * self.chance.random(), self.now - 60.0])
        return Backend(name, "abc"[number % 3], f"k{number % 2}", number % 4, status, 1.0, started)

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
            self.later(action.delay, engine, "timer", action.key)
        elif isinstance(action, Send):
            key = (engine, action.request)
            attempts = self.sent.setdefault(key, [])
            self.open.setdefault(key, []).append(len(attempts))
            attempts.append((action.backend, self.now))
            took = self.chance.choice([0.02, 0.1, 0.3, 0.6]) * (0.5 + self.chance.random())
            if 0 < action.timeout < took:
                self.later(action.timeout, engine, "end", (action.request, len(attempts) - 1, "late"))
            else:
                self.later(took, engine, "end", (action.request, len(attempts) - 1, "any"))
        elif isinstance(action, Cancel):
            self.later(0.0, engine, "end", (action.request, action.attempt, "cancelled"))
        elif isinstance(action, Count):
            total = self.totals[action.name] = self.totals.get(action.name, 0.0) + action.amount
            total += self.chance.choice([0.0, 0.0, 1.0, 5.0])
            took = 0.001 + 0.06 * self.chance.random() ** 3
            self.later(took, engine, "count", (action.name, total, self.now))
        elif isinstance(action, Charged) and len(self.engines) > 1:
            self.later(0.002, 1 - engine, "charged", action)
        elif isinstance(action, Refuse | Fail):
            self.uploads.pop((engine, action.request), None)

    def run_until(self, until: float) -> None:
        """Lets all happen that falls due by then."""
        while self.pending and self.pending[0][0] <= until:
            self.now, _, engine, what, whom = heapq.heappop(self.pending)
            if what == "timer":
                self.tell(engine, TimerDue(whom))
            elif what == "charged":
                self.tell(engine, whom)
            elif what == "count":
                name, total, since = whom
                outcome = self.chance.choice(COUNTER_OUTCOMES)
                self.tell(engine, Counted(name, outcome, self.now - since, total))
            else:
                self.end_attempt(engine, *whom)
        self.now = until

    def end_attempt(self, engine: int, request: int, attempt: int, how: str) -> None:
        key = (engine, request)
        if attempt not in self.open.get(key, ()):
            return
        if how == "any" and self.chance.random() < 0.06:
            self.tell(engine, StreamBegun(request, attempt, self.chance.choice([0.0, 0.2])))
            self.later(0.5 * self.chance.random(), engine, "end", (request, attempt, "streamed"))
            return
        self.open[key].remove(attempt)
        outcome = self.chance.choice(OUTCOMES)
        if how == "late":
            outcome = Outcome.TIMED_OUT
        elif how == "cancelled":
            outcome = Outcome.CANCELLED
        elif how == "streamed":
            outcome = Outcome.SERVED
        where, since = self.sent[key][attempt]
        over = outcome is Outcome.SERVED
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
            self.tell(engine, Probed(self.chance.choice(ENDPOINTS), Outcome.SERVED, 0.01, ()))
            made = self.engines[engine]
            self.write(f"  avoided {avoided(made)} takes clients {made.takes_clients()}")

    def ask(self, engine: int) -> None:
        self.number += 1
        klass, plan = self.chance.choice(CLASSES), self.chance.choice(PLANS)
        uploading = self.chance.random() < 0.05
        time = self.chance.choice([0.4, 1.0, 2.0, 4.0])
        spread = self.chance.choice([0, 1, 2, 6])
        request = Request(
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
        self.tell(engine, ClientLeft(number) if gone else Unwanted(number))

    def change_list(self, engine: int) -> None:
        kind = self.chance.choice(
            [
                ListKind.CHANGES,
                ListKind.CHANGES,
                ListKind.CHANGES,
                ListKind.WHOLE,
                ListKind.FAILED,
                ListKind.REMEMBERED,
            ]
        )
        if kind is ListKind.FAILED:
            return self.tell(engine, BackendList(kind, ()))
        if kind is ListKind.CHANGES:
            status = self.chance.choice([Status.SERVING, Status.SERVING, Status.DRAINING, Status.GONE])
            named = [self.endpoint(self.chance.choice(ENDPOINTS), status)]
        else:
            named = [self.endpoint(name) for name in ENDPOINTS if self.chance.random() < 0.8]
        return self.tell(engine, BackendList(kind, tuple(named)))

    def advance_upload(self, engine: int) -> None:
        mine = [number for owner, number in self.uploads if owner == engine]
        if not mine:
            return
        number = self.chance.choice(mine)
        if self.chance.random() < 0.5:
            return self.tell(engine, BodySpent(number))
        time = self.uploads.pop((engine, number))
        return self.tell(engine, Uploaded(number, self.now + time))

    def operate(self, engine: int) -> None:
        pick = self.chance.random()
        if pick < 0.55:
            self.tell(engine, Maintain(self.chance.choice(ENDPOINTS), self.chance.random() < 0.4))
        elif pick < 0.75:
            self.tell(engine, Drain(self.chance.random() < 0.3))
        elif len(self.engines) == 1:
            self.start_successor()
        else:
            both = self.chance.random() < 0.7
            for number in range(2):
                self.tell(number, Paired(both))
            self.hand_over(engine, 1 - engine)

    def start_successor(self) -> None:
        self.engines.append(Gateway(self.settings, 77, self.now))
        listed = tuple(s.backend for s in self.engines[0].servers.values())
        self.tell(1, BackendList(ListKind.REMEMBERED, listed))
        self.hand_over(0, 1)
        for number in range(2):
            self.tell(number, Paired(True))

    def hand_over(self, old: int, new: int) -> None:
        state = json.dumps(estate_of(self.engines[old]).state)
        self.write("  state " + state)
        self.tell(new, Estate(json.loads(state)))


def type_name(event: Event) -> str:
    """A word for each kind of event that stays the same whatever its type is called."""
    return EVENT_NAMES[type(event)]


EVENT_NAMES: dict[type, str] = {
    Request: "request",
    BackendList: "endpoints",
    ClientLeft: "disconnected",
    Unwanted: "half closed",
    StreamBegun: "response stream",
    AttemptEnded: "attempt ended",
    Counted: "counter reply",
    Probed: "health check",
    TimerDue: "timer",
    Maintain: "maintenance",
    Drain: "draining",
    Estate: "restore",
    Paired: "peer",
    Charged: "charged",
    BodySpent: "body consumed",
    Uploaded: "body received",
}


def action_text(action: Action) -> str:
    """An action with all its figures, in words that stay the same whatever its type is called."""
    if isinstance(action, Send):
        return f"send {action.request} {action.backend} {action.timeout!r} {action.write_within!r}"
    if isinstance(action, Refuse):
        return f"reject {action.request} {action.retry_after!r}"
    if isinstance(action, Fail):
        return f"fail {action.request}"
    if isinstance(action, Cancel):
        return f"cancel {action.request} {action.attempt}"
    if isinstance(action, SetTimer):
        return f"timer {action.delay!r} {action.key}"
    if isinstance(action, Count):
        return f"count {action.name} {action.amount!r} {action.forget_after!r}"
    if isinstance(action, Rest):
        return f"close idle {action.backend}"
    if isinstance(action, Dismiss):
        return f"drain clients {action.on}"
    if isinstance(action, Charged):
        return f"charged {action.customer} {action.plan} {action.width} {action.units!r}"
    assert isinstance(action, Subscribe)
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
