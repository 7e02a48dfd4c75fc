"""Joins the decision module to the sockets: events in, actions out, one final answer a request.

Nothing is chosen here. What happened becomes an event of the module; its actions are carried out in their
order. The one exception is the guard that answers a request which would otherwise go without, and logs it.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable

from quota_gateway.body_streaming import ResponseHead, StreamSink
from quota_gateway.counter.client import CounterClient
from quota_gateway.discovery.client import EndpointUpdate
from quota_gateway.dispatch.client_request import ClientRequest, ResponseChannel
from quota_gateway.dispatch.endpoint_updates import update_pool
from quota_gateway.metrics import Metrics
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
from quota_gateway.model.events import (
    AttemptEnded,
    ClientDisconnected,
    ClientHalfClosed,
    CounterReply,
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
from quota_gateway.model.timers import Timer
from quota_gateway.policy.engine import PolicyEngine
from quota_gateway.upstream.connection_pool import AttemptResult, ConnectionPool, UpstreamAttempt

EARLY = 0.1  # seconds before the client's end at which the module takes a request to be over: the budget
# runs from the client's send, the answer has its way back, and the core may be busy with another gateway
GUARD = 0.05  # seconds before the client's end at which an unanswered request is failed by the guard
UPLOAD_WITHIN = 900.0  # seconds for a long body to come: the client's side ends one that stands still
FRESH = 0.01  # seconds after its last byte in which a request is sent on without a look for its client
SCANT = 0.25  # of the budget, at most, that these two may take

log = logging.getLogger("quota_gateway")


class ActiveRequest:
    """A request that was taken, until it has its answer and the last of its attempts has ended."""

    __slots__ = (
        "attempts",
        "attempt_start_limit",
        "request",
        "dispatcher",
        "deadline",
        "response",
        "guard",
        "number",
        "in_flight",
        "answered",
        "streaming_attempt",
    )

    def __init__(
        self, driver: RequestDispatcher, number: int, call: ClientRequest, exchange: ResponseChannel
    ) -> None:
        self.dispatcher, self.number, self.request = driver, number, call
        self.response: ResponseChannel | None = exchange
        self.deadline = call.received_at + (
            UPLOAD_WITHIN if call.body_stream is not None else self.time_budget
        )
        self.attempts: list[UpstreamAttempt] = []
        self.streaming_attempt: UpstreamAttempt | None = None  # whose long answer is being passed on
        self.in_flight, self.answered = 0, False
        self.attempt_start_limit: float | None = (
            None  # until when an attempt may begin, once its client has closed
        )
        self.guard: asyncio.TimerHandle | None = None

    @property
    def time_budget(self) -> float:
        """Seconds that the module has, from the request's last byte."""
        return self.request.budget - min(EARLY, SCANT * self.request.budget)

    def attempt_ended(self, attempt: UpstreamAttempt, answer: AttemptResult) -> None:
        self.dispatcher.attempt_ended(self, attempt, answer)

    def start_stream(self, attempt: UpstreamAttempt, head: ResponseHead) -> StreamSink | None:
        return self.dispatcher.start_response_stream(self, attempt, head)

    def may_begin(self, now: float) -> bool:
        """False for an attempt whose client has gone, also where the loop has not told of that yet.

        What is sent as it is read needs no look.
        """
        if self.attempt_start_limit is not None:
            return now < self.attempt_start_limit
        fresh = now - self.request.received_at < FRESH
        return fresh or self.response is None or not self.response.client_disconnected()

    def body_spent(self) -> None:
        self.dispatcher.post(RequestBodyConsumed(self.number))


class RequestDispatcher:
    """Owns the one Gateway of this process."""

    def __init__(self, gateway: PolicyEngine, clock: Callable[[], float], pool: ConnectionPool) -> None:
        self.engine, self.clock, self.pool = gateway, clock, pool
        self.max_request_units = gateway.settings.max_request_units
        self.counter: CounterClient | None = None
        self.loop = asyncio.get_running_loop()
        self.active_requests: dict[int, ActiveRequest] = {}
        self.open_call_ids: set[bytes] = set()  # the clients' ids of these
        self.unanswered_count = 0
        self.submitted_count = 0
        self.all_answered = asyncio.Event()
        self.metrics = Metrics(c.name for c in gateway.settings.request_classes)
        self.drain_clients: Callable[[bool], None] | None = None  # has clients' connections end
        self.report_units: Callable[[UnitsCharged], None] | None = (
            None  # tells another process of this gateway
        )
        self.events: deque[tuple[Event, float]] = deque()
        self.handling = False
        self.action_handlers: dict[type, Callable[..., None]] = {
            StartAttempt: self.send,
            SetTimer: self.set_timer,
            Reject: self.reject,
            FailRequest: self.fail,
            CancelAttempt: self.cancel,
            IncrementCounter: self.count,
            CloseIdleConnections: self.close_idle_connections,
            DrainClientConnections: self.drain_client_connections,
            UnitsCharged: self.forward_units,
        }

    # what happened

    def submit(self, call: ClientRequest, exchange: ResponseChannel) -> int:
        """A client's request; its number is the module's name for it."""
        self.submitted_count += 1
        pending = ActiveRequest(self, self.submitted_count, call, exchange)
        self.active_requests[pending.number] = pending
        self.open_call_ids.add(call.call_id)
        self.unanswered_count += 1
        if call.body_stream is None:
            self.set_guard(pending)
        else:
            call.body_stream.on_first_read = pending.body_spent
        self.post(
            RequestReceived(
                pending.number,
                call.request_class,
                call.plan,
                call.customer,
                call.received_at + pending.time_budget,
                call.units,
                call.quota_spread,
                call.first_gateway,
                call.is_retry,
                call.budget,
                call.body_stream is not None,
            )
        )
        return pending.number

    def set_guard(self, pending: ActiveRequest) -> None:
        call = pending.request
        end = call.received_at + call.budget - min(GUARD, SCANT * call.budget / 2)
        pending.guard = self.loop.call_later(max(end - self.clock(), 0.0), self.fail_unanswered, pending)

    def request_body_received(self, number: int, received: float) -> None:
        """A long body's last byte has come: the request's time runs from now."""
        pending = self.active_requests.get(number)
        if pending is None or pending.answered or pending.request.body_stream is None:
            return
        pending.request.received_at = received
        pending.request.body_stream.finish()
        if pending.streaming_attempt is not None:
            return  # its answer was early, and has no deadline
        pending.deadline = received + pending.time_budget
        self.set_guard(pending)
        now = self.clock()
        for attempt in pending.attempts:
            if not attempt.ended:
                attempt.extend_deadline(pending.deadline, now, self.loop)
        self.post(RequestBodyReceived(number, pending.deadline))

    def abandon(self, number: int, status: int) -> None:
        """Ends a request whose body does not come as it should; with no status its client is gone."""
        pending = self.active_requests.get(number)
        if pending is not None and not pending.answered:
            self.finish(pending, status)
            self.post(ClientDisconnected(number))
            self.forget(pending)

    def is_call_open(self, call_id: bytes) -> bool:
        return call_id in self.open_call_ids

    def client_disconnected(self, number: int) -> None:
        self.abandon(number, 0)

    def limit_attempt_start(self, number: int, by: float) -> None:
        """Its client has closed: an attempt may begin until then, and none later."""
        pending = self.active_requests.get(number)
        if pending is not None and pending.attempt_start_limit is None:
            pending.attempt_start_limit = by

    def client_half_closed(self, number: int) -> None:
        """Sends nothing more on for a request whose client has closed; what was sent may be answered yet."""
        pending = self.active_requests.get(number)
        if pending is None or pending.answered or pending.streaming_attempt is not None:
            return
        self.post(ClientHalfClosed(number))
        for attempt in list(pending.attempts):
            # a long body goes on if it has begun to
            sent = attempt.written_at is not None or attempt.written and attempt.body_stream is not None
            if not attempt.ended and not sent:
                attempt.end(AttemptResult(Outcome.NOT_SENT))

    def apply_endpoint_update(self, update: EndpointUpdate) -> None:
        """Take a full endpoint list or changes of it."""
        self.post(update_pool(self.pool, update))

    def set_maintenance(self, backend: str, out: bool) -> bool:
        """An operator's word on a backend; False for an id that nobody has."""
        if not self.engine.knows_endpoint(backend):
            return False
        self.post(SetMaintenance(backend, out))
        return True

    def set_draining(self, on: bool) -> None:
        self.post(SetDraining(on))

    def handle_counter_reply(self, counted: CounterReply) -> None:
        self.post(counted)

    def timer_fired(self, timer: Timer, due: float) -> None:
        # the loop counts whole milliseconds and may come early: for the module a timer is never early
        self.post(TimerFired(timer), due)

    def attempt_ended(self, pending: ActiveRequest, attempt: UpstreamAttempt, answer: AttemptResult) -> None:
        pending.in_flight -= 1
        if pending.streaming_attempt is attempt:
            self.finish_response_stream(pending, answer.outcome is Outcome.SUCCESS)
        elif answer.outcome is Outcome.SUCCESS and not pending.answered:
            self.finish(pending, 200, answer.body, answer.headers)
        elapsed = self.clock() - attempt.waiting_since
        over = pending.answered
        units = answer.units if answer.units <= self.max_request_units else 0.0  # no request takes as much
        self.post(
            AttemptEnded(
                pending.number, attempt.index, attempt.endpoint_id, answer.outcome, elapsed, over, units, ()
            )
        )
        self.forget(pending)

    def start_response_stream(
        self, pending: ActiveRequest, attempt: UpstreamAttempt, head: ResponseHead
    ) -> StreamSink | None:
        """Passes on a long answer as it comes; None where nobody waits for it, or another is passed on."""
        if pending.answered or pending.streaming_attempt is not None or pending.response is None:
            return None
        if attempt.connection is None:
            return None
        pending.streaming_attempt = attempt
        for timer in (pending.guard, attempt.timer):
            if timer is not None:
                timer.cancel()
        pending.response.begin_stream(head, attempt.connection)
        elapsed = self.clock() - attempt.waiting_since
        self.post(ResponseStreamStarted(pending.number, attempt.index, max(elapsed, 1e-6)))
        return pending.response

    def finish_response_stream(self, pending: ActiveRequest, whole: bool) -> None:
        if not pending.answered:
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
            for action in self.engine.handle(event, max(self.clock(), due)):
                self.execute(action)
        except Exception:  # one event that goes wrong must not take the other requests with it
            log.exception("the event %r went wrong", event)

    def execute(self, action: Action) -> None:
        carry = self.action_handlers.get(type(action))
        if carry is not None:  # the one other is Subscribe: discovery is followed all the time
            carry(action)

    # what the module wants

    def send(self, action: StartAttempt) -> None:
        pending = self.active_requests.get(action.request_id)
        if pending is None:
            return log.warning("a send for request %d, which is over and done", action.request_id)
        now, place = self.clock(), len(pending.attempts)
        until = pending.deadline if action.timeout <= 0 else min(pending.deadline, now + action.timeout)
        attempt = UpstreamAttempt(
            action.endpoint_id, pending.request.head, pending.request.body, now, until, place, pending
        )
        attempt.body_stream, attempt.start_stream = pending.request.body_stream, pending.start_stream
        attempt.send_deadline = now + action.send_within if action.send_within > 0 else None
        pending.attempts.append(attempt)
        pending.in_flight += 1
        if pending.answered or now >= pending.deadline or not pending.may_begin(now):
            return attempt.end(AttemptResult(Outcome.NOT_SENT))
        return self.pool.start(attempt)

    def cancel(self, action: CancelAttempt) -> None:
        pending = self.active_requests.get(action.request_id)
        if pending is not None and action.attempt_index < len(pending.attempts):
            pending.attempts[action.attempt_index].end(AttemptResult(Outcome.CANCELLED))

    def reject(self, action: Reject) -> None:
        advice = b"Retry-After: %.3f\r\n" % action.retry_after if action.retry_after > 0 else b""
        self.finish_number(action.request_id, 429, b"", advice)

    def fail(self, action: FailRequest) -> None:
        self.finish_number(action.request_id, 502)

    def set_timer(self, action: SetTimer) -> None:
        due = self.clock() + action.delay
        self.loop.call_later(action.delay, self.timer_fired, action.timer, due)

    def count(self, action: IncrementCounter) -> None:
        if self.counter is None:
            return self.post(CounterReply(action.name, Outcome.CONNECT_FAILED, 0.0, 0.0))
        return self.counter.add(action.name, action.amount, action.expire_after)

    def close_idle_connections(self, action: CloseIdleConnections) -> None:
        self.pool.close_idle(action.endpoint_id)

    def drain_client_connections(self, action: DrainClientConnections) -> None:
        if self.drain_clients is not None:
            self.drain_clients(action.enabled)

    def forward_units(self, action: UnitsCharged) -> None:
        if self.report_units is not None:
            self.report_units(action)

    def state_snapshot(self) -> StateSnapshot:
        return self.engine.snapshot()

    def gauges(self) -> dict[str, int]:
        """The figures that are read from their owners."""
        return {
            "dispatches": self.pool.attempts_written,
            "concurrent": self.unanswered_count,
            "targets": len(self.engine.endpoints),
            "targets_disabled": self.engine.unavailable_endpoints(),
        }

    # final answers

    def finish_number(self, number: int, status: int, body: bytes = b"", headers: bytes = b"") -> None:
        pending = self.active_requests.get(number)
        if pending is not None and not pending.answered:
            self.finish(pending, status, body, headers)
            self.forget(pending)

    def finish(
        self, pending: ActiveRequest, status: int = 0, body: bytes = b"", headers: bytes = b""
    ) -> None:
        """The one place where a request ends; with no status its client is gone and hears nothing."""
        pending.answered = True
        self.unanswered_count -= 1
        if status:
            self.metrics.request_ended(pending.request.request_class, status)
        if not self.unanswered_count:
            self.all_answered.set()
        if pending.guard is not None:
            pending.guard.cancel()
        exchange, pending.response = pending.response, None
        streamed = pending.streaming_attempt is not None
        if status and exchange is not None:
            if not streamed:
                exchange.send(status, body, headers)
            elif status == 200:
                exchange.end_stream()
            else:
                exchange.abort_stream()
        for attempt in pending.attempts:
            # what is not written whole must not be, for a request that is over; nor is an answer of use now
            unwritten = attempt.written_at is None
            if not attempt.ended and (unwritten or attempt is pending.streaming_attempt):
                attempt.end(AttemptResult(Outcome.NOT_SENT if unwritten else Outcome.CANCELLED))

    def forget(self, pending: ActiveRequest) -> None:
        if (
            pending.answered
            and not pending.in_flight
            and self.active_requests.pop(pending.number, None) is not None
        ):
            self.open_call_ids.discard(pending.request.call_id)

    def fail_unanswered(self, pending: ActiveRequest) -> None:
        """The guard: the module should have ended this request by now, and its client's time is up."""
        if not pending.answered:
            log.warning("request %d had no answer from the module at its end", pending.number)
            self.abandon(pending.number, 504)

    def fail_all_unanswered(self) -> None:
        for pending in list(self.active_requests.values()):
            self.fail_unanswered(pending)

    async def wait_until_answered(self, at_most: float) -> bool:
        """Waits until nothing that was taken is unanswered; False if that took too long."""
        end = self.clock() + at_most
        while self.unanswered_count:
            self.all_answered.clear()
            try:
                await asyncio.wait_for(self.all_answered.wait(), max(end - self.clock(), 0.0))
            except TimeoutError:
                return False
        return True
