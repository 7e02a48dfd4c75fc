"""Forwarding: starts attempts for requests within their quota, and answers requests that are not served."""

from dataclasses import dataclass, field

from quota_gateway.model.actions import CancelAttempt, FailRequest, Reason, Reject, StartAttempt
from quota_gateway.model.timers import LateAttemptTimer
from quota_gateway.policy.admission import LATE_THRESHOLD_FRACTION, AdmissionController
from quota_gateway.policy.fine_grained_quota import FineGrainedQuota
from quota_gateway.policy.latency_estimates import LatencyEstimates, useful_until
from quota_gateway.policy.load_balancing import LoadBalancer
from quota_gateway.policy.retries import RetryBudget, client_may_retry, remaining_idempotency_window
from quota_gateway.policy.token_bucket import EPSILON
from quota_gateway.state.context import EngineContext
from quota_gateway.state.limiter_state import QUOTA_PERIOD
from quota_gateway.state.peer_process import PeerProcess
from quota_gateway.state.records import AttemptState, EndpointState, PendingRequest

# Retry-After for a request that can't wait for what it lacks here, as a fraction of its latency objective.
SHORT_RETRY_AFTER_FRACTION = 0.15


@dataclass(slots=True, eq=False)
class Forwarder:
    """Starts, cancels and answers requests, and keeps them until no attempt is in flight."""

    context: EngineContext
    admission: AdmissionController
    balancer: LoadBalancer
    latency_estimates: LatencyEstimates
    retry_budget: RetryBudget
    fine_grained: FineGrainedQuota
    peer_process: PeerProcess
    requests: dict[int, PendingRequest] = field(default_factory=dict)  # by request id

    def forward(self, request: PendingRequest) -> None:
        """Start an attempt; give up if no endpoint may be used, or if a request without attempts is shed."""
        shed = not request.attempts and self.admission.should_shed(request)
        endpoint = None if shed else self.balancer.choose(request)
        if endpoint is not None and self.balancer.may_send(request, endpoint):
            self._start(request, endpoint)
        else:
            self._give_up(request, Reason.OVERLOAD if shed else Reason.NO_ENDPOINT)

    def _give_up(self, request: PendingRequest, reason: Reason) -> None:
        if request.is_charged and not request.attempts:
            request.limiter.refund(request.units)
            self.fine_grained.request_withdrawn(request)
        self.answer_with_retry_after(request, QUOTA_PERIOD, reason)

    def _start(self, request: PendingRequest, endpoint: EndpointState) -> None:
        if not request.attempts:
            self._count_first_attempt(request)
        attempt = AttemptState(
            endpoint, self.context.now, self.latency_estimates.expected_response_time(request)
        )
        send_within = remaining_idempotency_window(request, self.context.now)
        self.admission.attempt_started(endpoint)
        request.limiter.in_flight += 1
        request.in_flight += 1
        request.attempts.append(attempt)
        request.first_possibly_executed = request.first_possibly_executed or attempt
        self.context.emit(StartAttempt(request.id, endpoint.id, self._timeout(request), send_within))
        self.set_late_timer(request, len(request.attempts) - 1)

    def _count_first_attempt(self, request: PendingRequest) -> None:
        if request.plan.hard_limit_rate > 0:
            request.limiter.hard_limit_balance -= request.units
        self.retry_budget.deposit()
        self.peer_process.report(request.limiter, 0.0 if request.over_quota else request.units)

    def set_late_timer(self, request: PendingRequest, attempt_index: int) -> None:
        """Set the timer after which an attempt is late, unless the request's body is still being received."""
        if not request.request.body_incomplete:
            delay = max(LATE_THRESHOLD_FRACTION * request.latency_objective, EPSILON)
            self.context.set_timer(delay, LateAttemptTimer(request.id, attempt_index))

    def _timeout(self, request: PendingRequest) -> float:
        """Return the attempt's timeout in seconds; 0 for none, while the request's body is being received."""
        if request.request.body_incomplete:
            return 0.0
        now = self.context.now
        end = max(useful_until(request), now + LATE_THRESHOLD_FRACTION * request.latency_objective)
        return min(request.request.deadline, end) - now

    def answer(self, request: PendingRequest, retry_after: float, reason: Reason) -> None:
        """Reject or fail a request that is not served; `retry_after` is in seconds."""
        if request.answered or request.streaming:
            return
        request.answered = True
        if client_may_retry(request):
            settings = self.context.settings
            longest_retry_after = settings.max_retry_after if settings.retry_after_allowed else 0.0
            self.context.emit(Reject(request.id, min(max(retry_after, 0.0), longest_retry_after), reason))
        else:
            self.context.emit(FailRequest(request.id, reason))
        self.cancel_attempts(request)
        self.remove_if_finished(request)

    def answer_with_retry_after(self, request: PendingRequest, wait: float, reason: Reason) -> None:
        """Reject a request and advise the client when to retry; `wait` is in seconds.

        Retry-After is `wait`, after which this gateway can serve the request, if the response is then still
        useful. Otherwise it is short: another gateway may have quota, or an endpoint a free slot.
        """
        remaining = (
            useful_until(request) - self.context.now - self.latency_estimates.expected_response_time(request)
        )
        short_wait = SHORT_RETRY_AFTER_FRACTION * request.latency_objective
        self.answer(request, wait if wait <= remaining else short_wait, reason)

    def cancel_attempts(self, request: PendingRequest) -> None:
        """Cancel the attempts in flight, if the settings allow it and no response is being streamed."""
        if not self.context.settings.cancellation_allowed or request.streaming:
            return
        for index, attempt in enumerate(request.attempts):
            if attempt.in_flight:
                self.context.emit(CancelAttempt(request.id, index))

    def remove_if_finished(self, request: PendingRequest) -> None:
        """Remove an answered request without attempts in flight; refund its units if no attempt was sent."""
        if request.in_flight or not request.answered:
            return
        removed = self.requests.pop(request.id, None) is not None
        if removed and request.attempts and request.never_sent and request.is_charged:
            request.limiter.refill(self.context.now)
            request.limiter.refund(request.units)
            self.fine_grained.request_withdrawn(request)
            self.peer_process.report(request.limiter, -request.units)
