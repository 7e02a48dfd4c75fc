"""Simulation of one or two processes of a gateway in virtual time, with random backends and a random counter.

Every event and every action of the policy engines is recorded as a line of a transcript.
"""

from __future__ import annotations

import heapq
import json
import random
from dataclasses import dataclass
from enum import Enum, auto
from typing import NamedTuple

from quota_gateway.engine.policy_engine import PolicyEngine
from quota_gateway.model.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    IncrementCounter,
    Reject,
    SetTimer,
    StartAttempt,
)
from quota_gateway.model.charges import UnitsCharged
from quota_gateway.model.endpoints import EndpointListKind
from quota_gateway.model.events import (
    AttemptEnded,
    CounterReply,
    EndpointListUpdate,
    Event,
    PeerProcessChanged,
    ResponseStreamStarted,
    StateSnapshot,
    TimerFired,
)
from quota_gateway.model.outcomes import Outcome
from quota_gateway.model.settings import Settings
from quota_gateway.model.timers import Timer
from tests.transcript import action_text, event_text

START_TIME = 1000.0  # seconds of virtual time
SUCCESSOR_SEED = 77  # seed of the second process's policy engine
PEER_DELAY = 0.002  # seconds that a message between the two processes takes
SERVICE_TIMES = (0.02, 0.1, 0.3, 0.6)  # seconds; each is scaled by a factor from 0.5 to 1.5
STREAMED_FRACTION = 0.06  # fraction of the responses that are streamed
# Outcomes are drawn uniformly from these tuples; repeating an outcome makes it more likely.
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


class EndCause(Enum):
    """Why an attempt ends."""

    RESPONSE = auto()
    TIMEOUT = auto()
    CANCELLATION = auto()
    STREAM_END = auto()


# The outcome for each cause; the outcome of a response is drawn at random.
FIXED_OUTCOMES = {
    EndCause.TIMEOUT: Outcome.TIMED_OUT,
    EndCause.CANCELLATION: Outcome.CANCELLED,
    EndCause.STREAM_END: Outcome.SUCCESS,
}


@dataclass(frozen=True, slots=True)
class TimerExpiry:
    """The expiry of a timer that an engine has set."""

    timer: Timer


@dataclass(frozen=True, slots=True)
class ChargeReceived:
    """The arrival of a charge that the other process reports."""

    charge: UnitsCharged


@dataclass(frozen=True, slots=True)
class CounterReplyReceived:
    """A reply of the counter to the call sent at `sent_at`, in seconds."""

    key: str
    total: float
    sent_at: float


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """The end of an attempt; it has no effect if the attempt has already ended."""

    request_id: int
    attempt_index: int
    cause: EndCause


Effect = TimerExpiry | ChargeReceived | CounterReplyReceived | AttemptEnd


class ScheduledEffect(NamedTuple):
    """An effect on one process; effects at the same time happen in the order of `sequence`."""

    due_at: float
    sequence: int
    process: int
    effect: Effect


class RequestKey(NamedTuple):
    """Identifies a request of one process."""

    process: int
    request_id: int


class SentAttempt(NamedTuple):
    """The endpoint that an attempt was sent to, and the time in seconds."""

    endpoint_id: str
    sent_at: float


class ProcessPair:
    """Runs the policy engines of a gateway's processes and carries out their actions.

    `lines` is the transcript.
    """

    def __init__(self, settings: Settings, seed: int, rng: random.Random) -> None:
        self.settings = settings
        self.rng = rng
        self.now = START_TIME
        self.engines = [PolicyEngine(settings, seed, START_TIME)]
        self.scheduled: list[ScheduledEffect] = []
        self.scheduled_count = 0
        self.lines: list[str] = []
        self.in_flight: dict[RequestKey, list[int]] = {}
        self.sent: dict[RequestKey, list[SentAttempt]] = {}
        self.uploads: dict[RequestKey, float] = {}  # seconds; budgets of requests with incomplete bodies
        self.totals: dict[str, float] = {}

    def write(self, line: str) -> None:
        """Add a line to the transcript."""
        self.lines.append(line)

    def schedule(self, delay: float, process: int, effect: Effect) -> None:
        """Schedule an effect on a process, `delay` seconds from now."""
        self.scheduled_count += 1
        heapq.heappush(
            self.scheduled, ScheduledEffect(self.now + delay, self.scheduled_count, process, effect)
        )

    def handle(self, process: int, event: Event) -> None:
        """Pass an event to a process's engine; record the event, and record and carry out its actions."""
        self.write(event_text(self.now, process, event))
        for action in self.engines[process].handle(event, self.now):
            self.write("  " + action_text(action))
            self.carry_out(process, action)

    def carry_out(self, process: int, action: Action) -> None:
        """Schedule the effects of an action; actions without a case here have no effect in the simulation."""
        match action:
            case SetTimer():
                self.schedule(action.delay, process, TimerExpiry(action.timer))
            case StartAttempt():
                self.start_attempt(process, action)
            case CancelAttempt():
                end = AttemptEnd(action.request_id, action.attempt_index, EndCause.CANCELLATION)
                self.schedule(0.0, process, end)
            case IncrementCounter():
                self.call_counter(process, action)
            case UnitsCharged() if len(self.engines) > 1:
                self.schedule(PEER_DELAY, 1 - process, ChargeReceived(action))
            case Reject() | FailRequest():
                self.uploads.pop(RequestKey(process, action.request_id), None)

    def start_attempt(self, process: int, action: StartAttempt) -> None:
        """Send an attempt, and schedule its response or its timeout, whichever comes first."""
        key = RequestKey(process, action.request_id)
        attempts = self.sent.setdefault(key, [])
        index = len(attempts)
        self.in_flight.setdefault(key, []).append(index)
        attempts.append(SentAttempt(action.endpoint_id, self.now))
        duration = self.rng.choice(SERVICE_TIMES) * (0.5 + self.rng.random())
        if 0 < action.timeout < duration:
            end = AttemptEnd(action.request_id, index, EndCause.TIMEOUT)
            self.schedule(action.timeout, process, end)
        else:
            self.schedule(duration, process, AttemptEnd(action.request_id, index, EndCause.RESPONSE))

    def call_counter(self, process: int, action: IncrementCounter) -> None:
        """Increment a total and schedule the reply, which may include increments by other gateways."""
        total = self.totals.get(action.name, 0.0) + action.amount
        self.totals[action.name] = total
        total += self.rng.choice([0.0, 0.0, 1.0, 5.0])
        latency = 0.001 + 0.06 * self.rng.random() ** 3
        self.schedule(latency, process, CounterReplyReceived(action.name, total, self.now))

    def run_until(self, until: float) -> None:
        """Apply all effects scheduled up to the time `until`, and advance the clock to it."""
        while self.scheduled and self.scheduled[0].due_at <= until:
            scheduled = heapq.heappop(self.scheduled)
            self.now = scheduled.due_at
            self.apply(scheduled.process, scheduled.effect)
        self.now = until

    def apply(self, process: int, effect: Effect) -> None:
        """Apply an effect at the current time."""
        match effect:
            case TimerExpiry(timer):
                self.handle(process, TimerFired(timer))
            case ChargeReceived(charge):
                self.handle(process, charge)
            case CounterReplyReceived(key, total, sent_at):
                outcome = self.rng.choice(COUNTER_OUTCOMES)
                self.handle(process, CounterReply(key, outcome, self.now - sent_at, total))
            case AttemptEnd():
                self.end_attempt(process, effect)

    def end_attempt(self, process: int, end: AttemptEnd) -> None:
        """End an attempt if it is in flight; a fraction of the responses is streamed and ends later."""
        key = RequestKey(process, end.request_id)
        if end.attempt_index not in self.in_flight.get(key, ()):
            return
        if end.cause is EndCause.RESPONSE and self.rng.random() < STREAMED_FRACTION:
            self.start_stream(process, end)
            return
        self.in_flight[key].remove(end.attempt_index)
        random_outcome = self.rng.choice(OUTCOMES)
        outcome = FIXED_OUTCOMES.get(end.cause, random_outcome)
        attempt = self.sent[key][end.attempt_index]
        units = self.rng.choice([0.0, 0.0, 0.5, 1.0, 3.0])
        event = AttemptEnded(
            request_id=end.request_id,
            attempt_index=end.attempt_index,
            endpoint_id=attempt.endpoint_id,
            outcome=outcome,
            elapsed=self.now - attempt.sent_at,
            request_answered=outcome is Outcome.SUCCESS,
            billed_units=units,
            load_report=(),
        )
        self.handle(process, event)

    def start_stream(self, process: int, end: AttemptEnd) -> None:
        """Start to stream a response, and schedule the end of the stream."""
        elapsed = self.rng.choice([0.0, 0.2])
        self.handle(process, ResponseStreamStarted(end.request_id, end.attempt_index, elapsed))
        stream_end = AttemptEnd(end.request_id, end.attempt_index, EndCause.STREAM_END)
        self.schedule(0.5 * self.rng.random(), process, stream_end)

    def start_successor(self) -> None:
        """Start the second process, and restore the endpoints and the state of the first one in it."""
        self.engines.append(PolicyEngine(self.settings, SUCCESSOR_SEED, self.now))
        endpoints = tuple(known.endpoint for known in self.engines[0].endpoints.values())
        self.handle(1, EndpointListUpdate(EndpointListKind.CACHED, endpoints))
        self.transfer_state(0, 1)
        self.announce_peer(True)

    def announce_peer(self, present: bool) -> None:
        """Notify each process whether the other one is running."""
        for process in range(2):
            self.handle(process, PeerProcessChanged(present))

    def transfer_state(self, source: int, target: int) -> None:
        """Restore the state of one process in the other by way of its JSON form, and record it."""
        state = json.dumps(self.engines[source].snapshot(self.now).state)
        self.write("  state " + state)
        self.handle(target, StateSnapshot(json.loads(state)))

    def write_status(self, process: int) -> None:
        """Record a process's unavailable endpoints, and whether it accepts clients."""
        engine = self.engines[process]
        unavailable = engine.count_unavailable_endpoints()
        self.write(f"  avoided {unavailable} takes clients {engine.is_accepting_clients()}")
