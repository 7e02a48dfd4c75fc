"""One or two processes of a gateway in virtual time, with backends and a counter that behave at random.

All that the engines decide is written down, line by line.
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

START_TIME = 1000.0  # seconds
SUCCESSOR_SEED = 77  # of the engine of the second process
PEER_DELAY = 0.002  # seconds that a message takes between the two processes
SERVICE_TIMES = (0.02, 0.1, 0.3, 0.6)  # seconds; each is scaled by a factor from 0.5 to 1.5
STREAMED_FRACTION = 0.06  # of the responses
# Outcomes stand as often as they are to be drawn.
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


FIXED_OUTCOMES = {
    EndCause.TIMEOUT: Outcome.TIMED_OUT,
    EndCause.CANCELLATION: Outcome.CANCELLED,
    EndCause.STREAM_END: Outcome.SUCCESS,
}  # by cause; a response's outcome is drawn


@dataclass(frozen=True, slots=True)
class TimerDue:
    """A timer that an engine has set."""

    timer: Timer


@dataclass(frozen=True, slots=True)
class ChargeReceived:
    """A message from the other process."""

    charge: UnitsCharged


@dataclass(frozen=True, slots=True)
class CounterReplyReceived:
    """The counter's reply to a call."""

    key: str
    total: float
    sent_at: float


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """The end of an attempt, unless it has ended before."""

    request_id: int
    attempt_index: int
    cause: EndCause


Effect = TimerDue | ChargeReceived | CounterReplyReceived | AttemptEnd


class ScheduledEffect(NamedTuple):
    """An effect on one process; `sequence` keeps those at one time in the order of their scheduling."""

    due_at: float
    sequence: int
    process: int
    effect: Effect


class RequestKey(NamedTuple):
    """A request of one process."""

    process: int
    request_id: int


class SentAttempt(NamedTuple):
    """Where and when an attempt was sent."""

    endpoint_id: str
    sent_at: float


class ProcessPair:
    """The engines of a gateway's processes, the effects of their actions, and the transcript in `lines`."""

    def __init__(self, settings: Settings, seed: int, chance: random.Random) -> None:
        self.settings = settings
        self.chance = chance
        self.now = START_TIME
        self.engines = [PolicyEngine(settings, seed, START_TIME)]
        self.scheduled: list[ScheduledEffect] = []
        self.scheduled_count = 0
        self.lines: list[str] = []
        self.in_flight: dict[RequestKey, list[int]] = {}
        self.sent: dict[RequestKey, list[SentAttempt]] = {}
        self.uploads: dict[RequestKey, float] = {}  # requests with an incomplete body, and their time budgets
        self.totals: dict[str, float] = {}

    def write(self, line: str) -> None:
        """Add a line to the transcript."""
        self.lines.append(line)

    def schedule(self, delay: float, process: int, effect: Effect) -> None:
        """Have an effect happen to a process, `delay` seconds from now."""
        self.scheduled_count += 1
        heapq.heappush(
            self.scheduled, ScheduledEffect(self.now + delay, self.scheduled_count, process, effect)
        )

    def handle(self, process: int, event: Event) -> None:
        """Have an engine handle an event now, record it with its actions, and schedule their effects."""
        self.write(event_text(self.now, process, event))
        for action in self.engines[process].handle(event, self.now):
            self.write("  " + action_text(action))
            self.carry_out(process, action)

    def carry_out(self, process: int, action: Action) -> None:
        """Schedule the effects of an action; those without an effect here are only recorded."""
        match action:
            case SetTimer():
                self.schedule(action.delay, process, TimerDue(action.timer))
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
        """Send an attempt, and schedule its response or its timeout, whichever is first."""
        key = RequestKey(process, action.request_id)
        attempts = self.sent.setdefault(key, [])
        index = len(attempts)
        self.in_flight.setdefault(key, []).append(index)
        attempts.append(SentAttempt(action.endpoint_id, self.now))
        duration = self.chance.choice(SERVICE_TIMES) * (0.5 + self.chance.random())
        if 0 < action.timeout < duration:
            end = AttemptEnd(action.request_id, index, EndCause.TIMEOUT)
            self.schedule(action.timeout, process, end)
        else:
            self.schedule(duration, process, AttemptEnd(action.request_id, index, EndCause.RESPONSE))

    def call_counter(self, process: int, action: IncrementCounter) -> None:
        """Add to a total, to which other gateways may have added too, and schedule the reply."""
        total = self.totals.get(action.name, 0.0) + action.amount
        self.totals[action.name] = total
        total += self.chance.choice([0.0, 0.0, 1.0, 5.0])
        latency = 0.001 + 0.06 * self.chance.random() ** 3
        self.schedule(latency, process, CounterReplyReceived(action.name, total, self.now))

    def run_until(self, until: float) -> None:
        """Advance the time, and let happen what is due by then."""
        while self.scheduled and self.scheduled[0].due_at <= until:
            scheduled = heapq.heappop(self.scheduled)
            self.now = scheduled.due_at
            self.apply(scheduled.process, scheduled.effect)
        self.now = until

    def apply(self, process: int, effect: Effect) -> None:
        """Let an effect happen now."""
        match effect:
            case TimerDue(timer):
                self.handle(process, TimerFired(timer))
            case ChargeReceived(charge):
                self.handle(process, charge)
            case CounterReplyReceived(key, total, sent_at):
                outcome = self.chance.choice(COUNTER_OUTCOMES)
                self.handle(process, CounterReply(key, outcome, self.now - sent_at, total))
            case AttemptEnd():
                self.end_attempt(process, effect)

    def end_attempt(self, process: int, end: AttemptEnd) -> None:
        """End an attempt that is in flight; some responses begin to stream, and end later."""
        key = RequestKey(process, end.request_id)
        if end.attempt_index not in self.in_flight.get(key, ()):
            return
        if end.cause is EndCause.RESPONSE and self.chance.random() < STREAMED_FRACTION:
            self.start_stream(process, end)
            return
        self.in_flight[key].remove(end.attempt_index)
        drawn = self.chance.choice(OUTCOMES)
        outcome = FIXED_OUTCOMES.get(end.cause, drawn)
        attempt = self.sent[key][end.attempt_index]
        units = self.chance.choice([0.0, 0.0, 0.5, 1.0, 3.0])
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
        """Begin to stream a response, and schedule its end."""
        elapsed = self.chance.choice([0.0, 0.2])
        self.handle(process, ResponseStreamStarted(end.request_id, end.attempt_index, elapsed))
        stream_end = AttemptEnd(end.request_id, end.attempt_index, EndCause.STREAM_END)
        self.schedule(0.5 * self.chance.random(), process, stream_end)

    def start_successor(self) -> None:
        """Start the second process, which takes over the first one's endpoints and state."""
        self.engines.append(PolicyEngine(self.settings, SUCCESSOR_SEED, self.now))
        endpoints = tuple(known.endpoint for known in self.engines[0].endpoints.values())
        self.handle(1, EndpointListUpdate(EndpointListKind.CACHED, endpoints))
        self.transfer_state(0, 1)
        self.announce_peer(True)

    def announce_peer(self, present: bool) -> None:
        """Notify both processes of whether the other runs."""
        for process in range(2):
            self.handle(process, PeerProcessChanged(present))

    def transfer_state(self, source: int, target: int) -> None:
        """Restore one process's state in the other, as it comes over the wire, and record it."""
        state = json.dumps(self.engines[source].snapshot(self.now).state)
        self.write("  state " + state)
        self.handle(target, StateSnapshot(json.loads(state)))

    def write_status(self, process: int) -> None:
        """Record what a process says of itself."""
        engine = self.engines[process]
        unavailable = engine.count_unavailable_endpoints()
        self.write(f"  avoided {unavailable} takes clients {engine.is_accepting_clients()}")
