"""Connects the policy engine to the network: passes events to it and executes its actions in order.

The engine makes every decision, with one exception: the watchdog logs and fails a request that would
otherwise get no response before its client's timeout.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from functools import partial
from http import HTTPStatus
from typing import NamedTuple

from quota_gateway.counter.client import CounterClient
from quota_gateway.discovery.endpoint_update import EndpointUpdate
from quota_gateway.dispatch.action_executor import ActionExecutor
from quota_gateway.dispatch.active_request import ActiveRequest
from quota_gateway.dispatch.attempt_handler import AttemptHandler
from quota_gateway.dispatch.client_request import ClientRequest, ResponseChannel
from quota_gateway.dispatch.endpoint_updates import update_pool
from quota_gateway.dispatch.request_log import RequestLog
from quota_gateway.dispatch.request_registry import RequestRegistry
from quota_gateway.engine.policy_engine import PolicyEngine
from quota_gateway.metrics import Metrics
from quota_gateway.model.charges import CallsSent, UnitsCharged
from quota_gateway.model.events import (
    ClientDisconnected,
    ClientHalfClosed,
    CounterReply,
    Event,
    RequestBodyConsumed,
    RequestBodyReceived,
    SetDraining,
    SetMaintenance,
    StateSnapshot,
    TimerFired,
)
from quota_gateway.model.timers import Timer
from quota_gateway.upstream.connection_pool import ConnectionPool

log = logging.getLogger("quota_gateway")


class QueuedEvent(NamedTuple):
    """An event that waits until the actions of another event are executed."""

    event: Event
    not_before: float  # the earliest time in seconds at which the engine may see the event


class RequestDispatcher:
    """Runs the policy engine of this process and gives each request exactly one final response."""

    def __init__(self, engine: PolicyEngine, clock: Callable[[], float], pool: ConnectionPool) -> None:
        """Initialize the dispatcher; must be called in the event loop that serves the requests."""
        self.engine = engine
        self.clock = clock
        self.pool = pool
        self.counter: CounterClient | None = None
        self.set_client_draining: Callable[[bool], None] | None = None  # starts or stops draining connections
        # send charges, and calls sent on, to the peer process
        self.report_charged_units: Callable[[UnitsCharged], None] | None = None
        self.report_sent_calls: Callable[[CallsSent], None] | None = None
        self.metrics = Metrics(request_class.name for request_class in engine.settings.request_classes)
        self.submitted_request_count = 0
        self._loop = asyncio.get_running_loop()
        self.invariants = pool.invariants
        self._request_log = RequestLog()
        self._registry = RequestRegistry(clock, self.metrics, self.invariants)
        self.repeated_calls = self._registry.repeated_calls
        max_units = engine.settings.max_request_units
        self._attempt_handler = AttemptHandler(
            self._registry, self.post, clock, max_units, self.metrics, self._request_log
        )
        self._executor = ActionExecutor(
            self, self._registry, pool, clock, self._loop, self.metrics, self._request_log
        )
        self._event_queue: deque[QueuedEvent] = deque()
        self._is_handling_events = False

    @property
    def active_requests(self) -> dict[int, ActiveRequest]:
        """The requests that are unanswered or have attempts in flight, by request id."""
        return self._registry.active_requests

    @property
    def active_call_ids(self) -> set[bytes]:
        """The call ids of the active requests."""
        return self._registry.active_call_ids

    @property
    def unanswered_request_count(self) -> int:
        """The number of requests that wait for their final response."""
        return self._registry.unanswered_request_count

    def submit(self, request: ClientRequest, response: ResponseChannel) -> int:
        """Start serving a client's request and return its request id."""
        self.submitted_request_count += 1
        active_request = ActiveRequest(self.submitted_request_count, request, response, self._attempt_handler)
        self._registry.add(active_request)
        if self._request_log.enabled:
            self._request_log.received(active_request, self.clock())
        if request.body_stream is None:
            self._start_watchdog(active_request)
        else:
            event = RequestBodyConsumed(active_request.request_id)
            request.body_stream.on_first_read = partial(self.post, event)
        self.post(active_request.received_event())
        return active_request.request_id

    def request_body_received(self, request_id: int, received_at: float) -> None:
        """Mark a streamed body as complete; the request's time budget starts at `received_at` seconds."""
        active_request = self._registry.find_unanswered(request_id)
        if active_request is None or active_request.request.body_stream is None:
            return
        active_request.body_received(received_at)
        active_request.request.body_stream.finish()
        if active_request.streaming_attempt is not None:
            return  # the response is already being streamed, which has no deadline
        active_request.deadline = received_at + active_request.time_budget
        self._start_watchdog(active_request)
        active_request.extend_attempt_deadlines(self.clock(), self._loop)
        self.post(RequestBodyReceived(request_id, active_request.deadline))

    def enforce_body_deadline(self, request_id: int, earliest_end: float) -> None:
        """Answer a request whose streamed body is incomplete if its time may be over.

        The client may have written the last byte as early as `earliest_end`, in seconds.
        """
        active_request = self._registry.find_unanswered(request_id)
        if active_request is None or active_request.streaming_attempt is not None:
            return
        if self.clock() >= earliest_end + active_request.time_budget:
            active_request.time_out_blocked_attempts()
            if active_request.streaming_attempt is None:
                self._fail_unanswered(active_request)

    def end_request(self, request_id: int, status: int | None) -> None:
        """End an unanswered request early; a status of None sends no response."""
        active_request = self._registry.find_unanswered(request_id)
        if active_request is not None:
            if self._request_log.enabled:
                self._request_log.answered(active_request, status, "abandoned")
            self._registry.finish(active_request, status)
            self.post(ClientDisconnected(request_id))
            self._registry.remove_if_complete(active_request)

    def is_call_active(self, call_id: bytes) -> bool:
        """Return whether a request with this call id is active, or may have run and must not run again."""
        return self._registry.is_known_call(call_id)

    def client_disconnected(self, request_id: int) -> None:
        """End a request whose client's connection is lost."""
        self.end_request(request_id, None)

    def set_attempt_start_deadline(self, request_id: int, start_deadline: float) -> None:
        """Let attempts start only before `start_deadline` seconds, since the client has half-closed."""
        active_request = self._registry.find(request_id)
        if active_request is not None and active_request.attempt_start_deadline is None:
            active_request.attempt_start_deadline = start_deadline
            if self._request_log.enabled:
                self._request_log.half_closed(active_request, start_deadline, self.clock())

    def client_half_closed(self, request_id: int) -> None:
        """Start no further attempts for a request; those already sent may still provide its response."""
        active_request = self._registry.find_unanswered(request_id)
        if active_request is None or active_request.streaming_attempt is not None:
            return
        self.post(ClientHalfClosed(request_id))
        active_request.cancel_unsent_attempts()

    def apply_endpoint_update(self, update: EndpointUpdate) -> None:
        """Apply a full endpoint list or changes to it, and report the update to the engine."""
        self.post(update_pool(self.pool, update))

    def set_maintenance(self, endpoint_id: str, enabled: bool) -> bool:
        """Start or end maintenance of an endpoint; return False if its id is unknown."""
        if not self.engine.knows_endpoint(endpoint_id):
            return False
        self.post(SetMaintenance(endpoint_id, enabled))
        return True

    def set_draining(self, enabled: bool) -> None:
        """Start or stop draining this gateway."""
        self.post(SetDraining(enabled))

    def handle_counter_reply(self, reply: CounterReply) -> None:
        """Report the result of a counter call to the engine."""
        self.post(reply)

    def timer_fired(self, timer: Timer, due_at: float) -> None:
        """Report that a timer of the engine which was due at `due_at` seconds has fired."""
        # the event loop rounds to milliseconds and may call early; the engine relies on this never happening
        self.post(TimerFired(timer), due_at)

    def post(self, event: Event, not_before: float = 0.0) -> None:
        """Handle an event, or queue it while another event is being handled."""
        if self._is_handling_events:
            self._event_queue.append(QueuedEvent(event, not_before))
            return
        self._is_handling_events = True
        try:
            self.handle(event, not_before)
            while self._event_queue:
                queued = self._event_queue.popleft()
                self.handle(queued.event, queued.not_before)
        finally:
            self._is_handling_events = False

    def handle(self, event: Event, not_before: float) -> None:
        """Pass an event to the engine at the later of `not_before` and now, and execute its actions."""
        try:
            for action in self.engine.handle(event, max(self.clock(), not_before)):
                self._executor.execute(action)
        except Exception:  # a failure on one event must not affect other requests
            log.exception("failed to handle the event %r", event)

    def state_snapshot(self) -> StateSnapshot:
        """Return the engine's state for the process that takes over in a hot restart."""
        return self.engine.snapshot(self.clock())

    def gauges(self) -> dict[str, int]:
        """Return the metrics that reflect current state, by name."""
        return {
            "dispatches": self.pool.attempts_written,
            "concurrent": self.unanswered_request_count,
            "targets": len(self.engine.endpoints),
            "targets_disabled": self.engine.count_unavailable_endpoints(),
            "violations": sum(self.invariants.violations.values()),
            **{f"violations.{name}": count for name, count in self.invariants.violations.items()},
        }

    def fail_all_unanswered(self) -> None:
        """Fail all unanswered requests; used at the end of a graceful shutdown."""
        for active_request in list(self.active_requests.values()):
            self._fail_unanswered(active_request)

    async def wait_until_answered(self, timeout: float) -> bool:
        """Wait until every request is answered; return False after `timeout` seconds."""
        return await self._registry.wait_until_answered(timeout)

    def _start_watchdog(self, active_request: ActiveRequest) -> None:
        delay = max(active_request.watchdog_deadline - self.clock(), 0.0)
        active_request.watchdog_timer = self._loop.call_later(delay, self._fail_unanswered, active_request)

    def _fail_unanswered(self, active_request: ActiveRequest) -> None:
        if not active_request.answered:
            log.warning("request %d failed: no response within its timeout", active_request.request_id)
            self.end_request(active_request.request_id, HTTPStatus.GATEWAY_TIMEOUT)
