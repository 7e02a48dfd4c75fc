"""Handles the results of upstream attempts: answers clients and reports events to the policy engine."""

from __future__ import annotations

import logging
from collections import defaultdict
from collections.abc import Callable
from http import HTTPStatus

from quota_gateway.body_streaming import MAX_BUFFERED_BYTES, ResponseHead, StreamSink
from quota_gateway.dispatch.active_request import ActiveRequest
from quota_gateway.dispatch.request_log import RequestLog
from quota_gateway.dispatch.request_registry import RequestRegistry
from quota_gateway.metrics import Metrics
from quota_gateway.model.events import AttemptEnded, Event, ResponseStarted, ResponseStreamStarted
from quota_gateway.model.outcomes import Outcome
from quota_gateway.policy.response_sizes import ResponseSizes
from quota_gateway.upstream.attempt import MIN_TIME_TO_FIRST_BYTE, AttemptResult, UpstreamAttempt

log = logging.getLogger("quota_gateway")

# Outcomes of attempts that this gateway gives up although their response may still be coming.
GIVEN_UP_OUTCOMES = (Outcome.TIMED_OUT, Outcome.BROKEN_RESPONSE)


class AttemptHandler:
    """Handles the events of the attempts of all active requests."""

    def __init__(
        self,
        registry: RequestRegistry,
        post: Callable[[Event], None],
        clock: Callable[[], float],
        max_request_units: float,
        metrics: Metrics,
        request_log: RequestLog,
    ) -> None:
        """Initialize the handler; `post` receives its events, and a bill over the maximum is ignored."""
        self._metrics = metrics
        self._request_log = request_log
        self._registry = registry
        self._post = post
        self._clock = clock
        self._max_request_units = max_request_units
        self._response_sizes: defaultdict[str, ResponseSizes] = defaultdict(ResponseSizes)  # by request class

    def attempt_ended(
        self, active_request: ActiveRequest, attempt: UpstreamAttempt, result: AttemptResult
    ) -> None:
        """Answer the request if the result determines its response; report the end to the policy engine."""
        active_request.in_flight_count -= 1
        self._metrics.attempts_ended[result.outcome] += 1
        if self._request_log.enabled:
            self._request_log.ended(active_request, attempt, result)
        if attempt.response_bytes and result.outcome in GIVEN_UP_OUTCOMES:
            call_id = active_request.request.call_id.decode()
            log.warning(
                "call %s: response of %s ended as %s after %d bytes",
                call_id,
                attempt.endpoint_id,
                result.outcome.value,
                attempt.response_bytes,
            )
        if result.outcome is Outcome.SUCCESS and result.body_size <= MAX_BUFFERED_BYTES:
            self.response_sizes(active_request.request.request_class).record(result.body_size)
        self._answer(active_request, attempt, result)
        elapsed = self._clock() - attempt.waiting_since
        # no request has more units than the maximum, so an endpoint that bills more is in error
        units = result.billed_units if result.billed_units <= self._max_request_units else 0.0
        self._post(
            AttemptEnded(
                active_request.request_id,
                attempt.index,
                attempt.endpoint_id,
                result.outcome,
                elapsed,
                active_request.answered,
                units,
                (),
            )
        )
        self._registry.remove_if_complete(active_request)

    def _answer(self, active_request: ActiveRequest, attempt: UpstreamAttempt, result: AttemptResult) -> None:
        """Forward a response or end the streamed one; any other failure is left to the policy engine."""
        if active_request.answered:
            return
        succeeded = result.outcome is Outcome.SUCCESS
        if active_request.streaming_attempt is attempt:
            self._registry.finish(active_request, HTTPStatus.OK if succeeded else HTTPStatus.BAD_GATEWAY)
        elif succeeded:
            self._registry.finish(active_request, HTTPStatus.OK, result.body, result.headers)

    def start_response_stream(
        self, active_request: ActiveRequest, attempt: UpstreamAttempt, head: ResponseHead
    ) -> StreamSink | None:
        """Start forwarding a long response and return its sink, or None if there is a response already."""
        response = active_request.response_channel
        if active_request.answered or active_request.streaming_attempt is not None or response is None:
            return None
        if attempt.connection is None:
            return None
        active_request.streaming_attempt = attempt
        active_request.stop_watchdog()
        if attempt.deadline_timer is not None:
            attempt.deadline_timer.cancel()
        response.begin_stream(head, attempt.connection)
        elapsed = attempt.time_to_first_byte
        if elapsed is None:
            elapsed = max(self._clock() - attempt.waiting_since, MIN_TIME_TO_FIRST_BYTE)
        self._post(ResponseStreamStarted(active_request.request_id, attempt.index, elapsed))
        return active_request.response_channel

    def response_started(self, active_request: ActiveRequest, attempt: UpstreamAttempt) -> None:
        """Report the first byte of a response that is incomplete and not forwarded yet."""
        elapsed = attempt.time_to_first_byte
        if elapsed is not None:
            self._post(ResponseStarted(active_request.request_id, attempt.index, elapsed))

    def response_sizes(self, request_class: str) -> ResponseSizes:
        """Return the sizes of the short responses to a request class."""
        return self._response_sizes[request_class]
