"""Executes the actions that the policy engine returns."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from http import HTTPStatus
from typing import Protocol

from quota_gateway.counter.client import CounterClient
from quota_gateway.dispatch.request_log import RequestLog
from quota_gateway.dispatch.request_registry import RequestRegistry
from quota_gateway.metrics import Metrics
from quota_gateway.model.actions import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    DrainClientConnections,
    FailRequest,
    IncrementCounter,
    PollEndpoints,
    Reason,
    Reject,
    SetTimer,
    StartAttempt,
)
from quota_gateway.model.charges import CallsSent, UnitsCharged
from quota_gateway.model.events import CounterReply, Event
from quota_gateway.model.outcomes import Outcome
from quota_gateway.model.timers import Timer
from quota_gateway.upstream.attempt import AttemptResult, refused_result
from quota_gateway.upstream.connection_pool import ConnectionPool

log = logging.getLogger("quota_gateway")


class ActionContext(Protocol):
    """What the executor needs from the dispatcher; the optional attributes may be set at any time."""

    counter: CounterClient | None
    set_client_draining: Callable[[bool], None] | None
    report_charged_units: Callable[[UnitsCharged], None] | None
    report_sent_calls: Callable[[CallsSent], None] | None

    def post(self, event: Event) -> None:
        """Report an event to the policy engine."""

    def timer_fired(self, timer: Timer, due_at: float) -> None:
        """Report that a timer which was due at `due_at` seconds has fired."""


class ActionExecutor:
    """Executes the policy engine's actions one at a time, in the order in which it returned them."""

    def __init__(
        self,
        context: ActionContext,
        registry: RequestRegistry,
        pool: ConnectionPool,
        clock: Callable[[], float],
        loop: asyncio.AbstractEventLoop,
        metrics: Metrics,
        request_log: RequestLog,
    ) -> None:
        """Initialize the executor; the engine's timers are scheduled on `loop`."""
        self._metrics = metrics
        self._request_log = request_log
        self._context = context
        self._registry = registry
        self._pool = pool
        self._clock = clock
        self._loop = loop

    def execute(self, action: Action) -> None:
        """Execute an action of any type."""
        match action:
            case StartAttempt():
                self._start_attempt(action)
            case SetTimer():
                self._set_timer(action)
            case Reject():
                self._reject(action)
            case FailRequest():
                self._answer(action.request_id, HTTPStatus.BAD_GATEWAY, action.reason)
            case CancelAttempt():
                self._cancel_attempt(action)
            case IncrementCounter():
                self._increment_counter(action)
            case CloseIdleConnections():
                self._pool.retire_connections(action.endpoint_id)
            case DrainClientConnections():
                if self._context.set_client_draining is not None:
                    self._context.set_client_draining(action.enabled)
            case UnitsCharged():
                if self._context.report_charged_units is not None:
                    self._context.report_charged_units(action)
            case PollEndpoints():
                pass  # the endpoint poller runs continuously

    def _start_attempt(self, action: StartAttempt) -> None:
        active_request = self._registry.find(action.request_id)
        if active_request is None:
            log.warning("no attempt started for request %d: it is already complete", action.request_id)
            return
        now = self._clock()
        attempt = active_request.add_attempt(action, now)
        refusal = active_request.find_refusal(None, now)
        if refusal is not None:
            self._metrics.attempts_refused[refusal] += 1
            if self._request_log.enabled:
                self._request_log.refused(active_request, attempt, refusal)
            attempt.end(refused_result(refusal))
            return
        report_sent_calls = self._context.report_sent_calls
        if self._registry.record_attempt(active_request) and report_sent_calls is not None:
            report_sent_calls(CallsSent((active_request.request.call_id.decode(),)))
        if self._request_log.enabled:
            self._request_log.started(active_request, attempt, now)
        self._pool.start_attempt(attempt)

    def _cancel_attempt(self, action: CancelAttempt) -> None:
        active_request = self._registry.find(action.request_id)
        if active_request is not None and action.attempt_index < len(active_request.attempts):
            active_request.attempts[action.attempt_index].end(AttemptResult(Outcome.CANCELLED))

    def _reject(self, action: Reject) -> None:
        headers = b""
        if action.retry_after > 0:
            headers = b"Retry-After: %.3f\r\n" % action.retry_after
        self._answer(action.request_id, HTTPStatus.TOO_MANY_REQUESTS, action.reason, headers)

    def _answer(self, request_id: int, status: HTTPStatus, reason: Reason, headers: bytes = b"") -> None:
        """Send a final response without a body, unless the request has already been answered."""
        active_request = self._registry.find_unanswered(request_id)
        if active_request is not None:
            self._metrics.local_responses[reason] += 1
            if self._request_log.enabled:
                self._request_log.answered(active_request, status, reason)
            self._registry.finish(active_request, status, b"", headers)
            self._registry.remove_if_complete(active_request)

    def _set_timer(self, action: SetTimer) -> None:
        due_at = self._clock() + action.delay
        self._loop.call_later(action.delay, self._context.timer_fired, action.timer, due_at)

    def _increment_counter(self, action: IncrementCounter) -> None:
        counter = self._context.counter
        if counter is None:
            self._context.post(CounterReply(action.name, Outcome.CONNECT_FAILED, 0.0, 0.0))
        else:
            counter.increment(action.name, action.amount, action.expire_after)
