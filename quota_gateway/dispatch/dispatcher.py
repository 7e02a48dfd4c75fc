"""Joins the decision module to the sockets: events in, actions out, one final answer a request.

Nothing is chosen here. What happened becomes an event of the module; its actions are carried out in their
order. The one exception is the guard that answers a request which would otherwise go without, and logs it.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Protocol

from quota_gateway.body_streaming import Head, Sink, Source, Upload
from quota_gateway.counter.client import Counter
from quota_gateway.discovery.client import Listing
from quota_gateway.metrics import Figures
from quota_gateway.model.actions import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    DrainClientConnections,
    FailRequest,
    IncrementCounter,
    Reject,
    SetTimer,
    StartAttempt,
)
from quota_gateway.model.charges import UnitsCharged
from quota_gateway.model.endpoints import Endpoint, EndpointStatus
from quota_gateway.model.events import (
    AttemptEnded,
    ClientDisconnected,
    ClientHalfClosed,
    CounterReply,
    EndpointListUpdate,
    Event,
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
from quota_gateway.policy.engine import PolicyEngine
from quota_gateway.upstream.connection_pool import Answer, Attempt, Pool

EARLY = 0.1  # seconds before the client's end at which the module takes a request to be over: the budget
# runs from the client's send, the answer has its way back, and the core may be busy with another gateway
GUARD = 0.05  # seconds before the client's end at which an unanswered request is failed by the guard
UPLOAD_WITHIN = 900.0  # seconds for a long body to come: the client's side ends one that stands still
FRESH = 0.01  # seconds after its last byte in which a request is sent on without a look for its client
SCANT = 0.25  # of the budget, at most, that these two may take

log = logging.getLogger("quota_gateway")


@dataclass(slots=True)
class Call:
    """A client's request in the protocol's terms, as it goes to the module and to backends."""

    id: bytes
    received: float
    budget: float
    klass: str
    plan: str
    customer: str
    units: float
    width: int
    first_gateway: int
    repeat: bool
    head: bytes  # request line and headers for a backend, but for the budget and the blank line
    body: bytes
    upload: Upload | None = None  # in the place of the body, for a long one that is still to come


class Exchange(Sink, Protocol):
    """Where a request's answer goes: whole, or begun, passed on and ended."""

    def answer(self, status: int, body: bytes, headers: bytes = b"") -> None: ...

    def begin(self, head: Head, source: Source) -> None: ...

    def end(self) -> None: ...

    def cut(self) -> None: ...

    def client_has_gone(self) -> bool: ...


class Pending:
    """A request that was taken, until it has its answer and the last of its attempts has ended."""

    __slots__ = (
        "attempts",
        "begin_by",
        "call",
        "driver",
        "end",
        "exchange",
        "guard",
        "number",
        "out",
        "over",
        "streamed",
    )

    def __init__(self, driver: Driver, number: int, call: Call, exchange: Exchange) -> None:
        self.driver, self.number, self.call = driver, number, call
        self.exchange: Exchange | None = exchange
        self.end = call.received + (UPLOAD_WITHIN if call.upload is not None else self.time)
        self.attempts: list[Attempt] = []
        self.streamed: Attempt | None = None  # whose long answer is being passed on
        self.out, self.over = 0, False
        self.begin_by: float | None = None  # until when an attempt may begin, once its client has closed
        self.guard: asyncio.TimerHandle | None = None

    @property
    def time(self) -> float:
        """Seconds that the module has, from the request's last byte."""
        return self.call.budget - min(EARLY, SCANT * self.call.budget)

    def attempt_ended(self, attempt: Attempt, answer: Answer) -> None:
        self.driver.attempt_ended(self, attempt, answer)

    def begin(self, attempt: Attempt, head: Head) -> Sink | None:
        return self.driver.begin_answer(self, attempt, head)

    def may_begin(self, now: float) -> bool:
        """False for an attempt whose client has gone, also where the loop has not told of that yet.

        What is sent as it is read needs no look.
        """
        if self.begin_by is not None:
            return now < self.begin_by
        fresh = now - self.call.received < FRESH
        return fresh or self.exchange is None or not self.exchange.client_has_gone()

    def body_spent(self) -> None:
        self.driver.post(RequestBodyConsumed(self.number))


class Driver:
    """Owns the one Gateway of this process."""

    def __init__(self, gateway: PolicyEngine, clock: Callable[[], float], pool: Pool) -> None:
        self.gateway, self.clock, self.pool = gateway, clock, pool
        self.most_units = gateway.settings.max_request_units
        self.counter: Counter | None = None
        self.loop = asyncio.get_running_loop()
        self.pending: dict[int, Pending] = {}
        self.open: set[bytes] = set()  # the clients' ids of these
        self.unanswered = 0
        self.taken = 0
        self.all_answered = asyncio.Event()
        self.figures = Figures(c.name for c in gateway.settings.request_classes)
        self.dismiss: Callable[[bool], None] | None = None  # has clients' connections end
        self.charge: Callable[[UnitsCharged], None] | None = None  # tells another process of this gateway
        self.events: deque[tuple[Event, float]] = deque()
        self.handling = False
        self.carry: dict[type, Callable[..., None]] = {
            StartAttempt: self.send,
            SetTimer: self.set_timer,
            Reject: self.refuse,
            FailRequest: self.fail,
            CancelAttempt: self.cancel,
            IncrementCounter: self.count,
            CloseIdleConnections: self.rest,
            DrainClientConnections: self.dismissed,
            UnitsCharged: self.charged,
        }

    # what happened

    def take(self, call: Call, exchange: Exchange) -> int:
        """A client's request; its number is the module's name for it."""
        self.taken += 1
        pending = Pending(self, self.taken, call, exchange)
        self.pending[pending.number] = pending
        self.open.add(call.id)
        self.unanswered += 1
        if call.upload is None:
            self.set_guard(pending)
        else:
            call.upload.first_taken = pending.body_spent
        self.post(
            RequestReceived(
                pending.number,
                call.klass,
                call.plan,
                call.customer,
                call.received + pending.time,
                call.units,
                call.width,
                call.first_gateway,
                call.repeat,
                call.budget,
                call.upload is not None,
            )
        )
        return pending.number

    def set_guard(self, pending: Pending) -> None:
        call = pending.call
        end = call.received + call.budget - min(GUARD, SCANT * call.budget / 2)
        pending.guard = self.loop.call_later(max(end - self.clock(), 0.0), self.rescue, pending)

    def uploaded(self, number: int, received: float) -> None:
        """A long body's last byte has come: the request's time runs from now."""
        pending = self.pending.get(number)
        if pending is None or pending.over or pending.call.upload is None:
            return
        pending.call.received = received
        pending.call.upload.end()
        if pending.streamed is not None:
            return  # its answer was early, and has no deadline
        pending.end = received + pending.time
        self.set_guard(pending)
        now = self.clock()
        for attempt in pending.attempts:
            if not attempt.ended:
                attempt.run_until(pending.end, now, self.loop)
        self.post(RequestBodyReceived(number, pending.end))

    def abandon(self, number: int, status: int) -> None:
        """Ends a request whose body does not come as it should; with no status its client is gone."""
        pending = self.pending.get(number)
        if pending is not None and not pending.over:
            self.finish(pending, status)
            self.post(ClientDisconnected(number))
            self.forget(pending)

    def is_open(self, call_id: bytes) -> bool:
        return call_id in self.open

    def client_left(self, number: int) -> None:
        self.abandon(number, 0)

    def begin_by(self, number: int, by: float) -> None:
        """Its client has closed: an attempt may begin until then, and none later."""
        pending = self.pending.get(number)
        if pending is not None and pending.begin_by is None:
            pending.begin_by = by

    def unwanted(self, number: int) -> None:
        """Sends nothing more on for a request whose client has closed; what was sent may be answered yet."""
        pending = self.pending.get(number)
        if pending is None or pending.over or pending.streamed is not None:
            return
        self.post(ClientHalfClosed(number))
        for attempt in list(pending.attempts):
            # a long body goes on if it has begun to
            sent = attempt.whole_at is not None or attempt.written and attempt.upload is not None
            if not attempt.ended and not sent:
                attempt.end(Answer(Outcome.NOT_SENT))

    def list_told(self, listing: Listing) -> None:
        backends: list[Endpoint] = []
        for entry in listing.entries:
            backend = entry.backend
            if backend.status is EndpointStatus.SERVING:
                # an address that goes to a new id is no longer the old one's, whose end may be told later
                for old in self.pool.at(entry.address):
                    if old != backend.endpoint_id:
                        self.pool.retire(old)
                        backends.append(replace(backend, endpoint_id=old, status=EndpointStatus.REMOVED))
                self.pool.set_address(backend.endpoint_id, entry.address, backend.started_at)
            else:
                self.pool.retire(backend.endpoint_id)
            backends.append(backend)
        if listing.whole:
            named = {b.endpoint_id for b in backends}
            self.pool.forget_others(named)
        self.post(EndpointListUpdate(listing.kind, tuple(backends)))

    def maintain(self, backend: str, out: bool) -> bool:
        """An operator's word on a backend; False for an id that nobody has."""
        if not self.gateway.knows_endpoint(backend):
            return False
        self.post(SetMaintenance(backend, out))
        return True

    def drain(self, on: bool) -> None:
        self.post(SetDraining(on))

    def counter_told(self, counted: CounterReply) -> None:
        self.post(counted)

    def timer_due(self, key: str, due: float) -> None:
        # the loop counts whole milliseconds and may come early: for the module a timer is never early
        self.post(TimerFired(key), due)

    def attempt_ended(self, pending: Pending, attempt: Attempt, answer: Answer) -> None:
        pending.out -= 1
        if pending.streamed is attempt:
            self.end_answer(pending, answer.outcome is Outcome.SUCCESS)
        elif answer.outcome is Outcome.SUCCESS and not pending.over:
            self.finish(pending, 200, answer.body, answer.headers)
        elapsed = self.clock() - attempt.asked_at
        over = pending.over
        units = answer.units if answer.units <= self.most_units else 0.0  # no request takes as much
        self.post(
            AttemptEnded(
                pending.number, attempt.place, attempt.backend, answer.outcome, elapsed, over, units, ()
            )
        )
        self.forget(pending)

    def begin_answer(self, pending: Pending, attempt: Attempt, head: Head) -> Sink | None:
        """Passes on a long answer as it comes; None where nobody waits for it, or another is passed on."""
        if pending.over or pending.streamed is not None or pending.exchange is None:
            return None
        if attempt.connection is None:
            return None
        pending.streamed = attempt
        for timer in (pending.guard, attempt.timer):
            if timer is not None:
                timer.cancel()
        pending.exchange.begin(head, attempt.connection)
        elapsed = self.clock() - attempt.asked_at
        self.post(ResponseStreamStarted(pending.number, attempt.place, max(elapsed, 1e-6)))
        return pending.exchange

    def end_answer(self, pending: Pending, whole: bool) -> None:
        if not pending.over:
            self.finish(pending, 200 if whole else 502)

    # the module

    def post(self, event: Event, due: float = 0.0) -> None:
        """Hands an event on; one that an action brings about waits until all actions are carried out."""
        self.events.append((event, due))
        if self.handling:
            return
        self.handling = True
        try:
            while self.events:
                event, due = self.events.popleft()
                self.handle(event, due)
        finally:
            self.handling = False

    def handle(self, event: Event, due: float) -> None:
        try:
            for action in self.gateway.handle(event, max(self.clock(), due)):
                self.act(action)
        except Exception:  # one event that goes wrong must not take the other requests with it
            log.exception("the event %r went wrong", event)

    def act(self, action: Action) -> None:
        carry = self.carry.get(type(action))
        if carry is not None:  # the one other is Subscribe: discovery is followed all the time
            carry(action)

    # what the module wants

    def send(self, action: StartAttempt) -> None:
        pending = self.pending.get(action.request_id)
        if pending is None:
            return log.warning("a send for request %d, which is over and done", action.request_id)
        now, place = self.clock(), len(pending.attempts)
        until = pending.end if action.timeout <= 0 else min(pending.end, now + action.timeout)
        attempt = Attempt(
            action.endpoint_id, pending.call.head, pending.call.body, now, until, place, pending
        )
        attempt.upload, attempt.begin = pending.call.upload, pending.begin
        attempt.write_by = now + action.send_within if action.send_within > 0 else None
        pending.attempts.append(attempt)
        pending.out += 1
        if pending.over or now >= pending.end or not pending.may_begin(now):
            return attempt.end(Answer(Outcome.NOT_SENT))
        return self.pool.start(attempt)

    def cancel(self, action: CancelAttempt) -> None:
        pending = self.pending.get(action.request_id)
        if pending is not None and action.attempt_index < len(pending.attempts):
            pending.attempts[action.attempt_index].end(Answer(Outcome.CANCELLED))

    def refuse(self, action: Reject) -> None:
        advice = b"Retry-After: %.3f\r\n" % action.retry_after if action.retry_after > 0 else b""
        self.finish_number(action.request_id, 429, b"", advice)

    def fail(self, action: FailRequest) -> None:
        self.finish_number(action.request_id, 502)

    def set_timer(self, action: SetTimer) -> None:
        due = self.clock() + action.delay
        self.loop.call_later(action.delay, self.timer_due, action.key, due)

    def count(self, action: IncrementCounter) -> None:
        if self.counter is None:
            return self.post(CounterReply(action.name, Outcome.CONNECT_FAILED, 0.0, 0.0))
        return self.counter.add(action.name, action.amount, action.expire_after)

    def rest(self, action: CloseIdleConnections) -> None:
        self.pool.rest(action.endpoint_id)

    def dismissed(self, action: DrainClientConnections) -> None:
        if self.dismiss is not None:
            self.dismiss(action.enabled)

    def charged(self, action: UnitsCharged) -> None:
        if self.charge is not None:
            self.charge(action)

    def estate(self) -> StateSnapshot:
        return self.gateway.snapshot()

    def standing(self) -> dict[str, int]:
        """The figures that are read from their owners."""
        return {
            "dispatches": self.pool.dispatches,
            "concurrent": self.unanswered,
            "targets": len(self.gateway.endpoints),
            "targets_disabled": self.gateway.unavailable_endpoints(),
        }

    # final answers

    def finish_number(self, number: int, status: int, body: bytes = b"", headers: bytes = b"") -> None:
        pending = self.pending.get(number)
        if pending is not None and not pending.over:
            self.finish(pending, status, body, headers)
            self.forget(pending)

    def finish(self, pending: Pending, status: int = 0, body: bytes = b"", headers: bytes = b"") -> None:
        """The one place where a request ends; with no status its client is gone and hears nothing."""
        pending.over = True
        self.unanswered -= 1
        if status:
            self.figures.request_ended(pending.call.klass, status)
        if not self.unanswered:
            self.all_answered.set()
        if pending.guard is not None:
            pending.guard.cancel()
        exchange, pending.exchange = pending.exchange, None
        streamed = pending.streamed is not None
        if status and exchange is not None:
            if not streamed:
                exchange.answer(status, body, headers)
            elif status == 200:
                exchange.end()
            else:
                exchange.cut()
        for attempt in pending.attempts:
            # what is not written whole must not be, for a request that is over; nor is an answer of use now
            unwritten = attempt.whole_at is None
            if not attempt.ended and (unwritten or attempt is pending.streamed):
                attempt.end(Answer(Outcome.NOT_SENT if unwritten else Outcome.CANCELLED))

    def forget(self, pending: Pending) -> None:
        if pending.over and not pending.out and self.pending.pop(pending.number, None) is not None:
            self.open.discard(pending.call.id)

    def rescue(self, pending: Pending) -> None:
        """The guard: the module should have ended this request by now, and its client's time is up."""
        if not pending.over:
            log.warning("request %d had no answer from the module at its end", pending.number)
            self.abandon(pending.number, 504)

    def rescue_all(self) -> None:
        for pending in list(self.pending.values()):
            self.rescue(pending)

    async def wait_answered(self, at_most: float) -> bool:
        """Waits until nothing that was taken is unanswered; False if that took too long."""
        end = self.clock() + at_most
        while self.unanswered:
            self.all_answered.clear()
            try:
                await asyncio.wait_for(self.all_answered.wait(), max(end - self.clock(), 0.0))
            except TimeoutError:
                return False
        return True
