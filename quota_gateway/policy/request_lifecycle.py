"""Request lifecycle: arrival, end of the body, and disconnects of the client."""

from dataclasses import dataclass, replace

from quota_gateway.model.actions import Reason, Reject
from quota_gateway.model.events import RequestReceived
from quota_gateway.policy.admission import AdmissionController
from quota_gateway.policy.latency_estimates import LatencyEstimates, useful_until
from quota_gateway.policy.quota_sync import QuotaSynchronizer
from quota_gateway.policy.request_queue import RequestQueue
from quota_gateway.state.context import EngineContext
from quota_gateway.state.limiter_registry import LimiterRegistry
from quota_gateway.state.limiter_state import QUOTA_PERIOD
from quota_gateway.state.records import PendingRequest

# Part of the concurrency limit in use, below which retries are forwarded whose response would be late.
LATE_RETRY_LIMIT_FRACTION = 0.25


@dataclass(slots=True, eq=False)
class RequestLifecycle:
    """Receives requests, and ends those whose client has disconnected."""

    context: EngineContext
    limiter_registry: LimiterRegistry
    quota_synchronizer: QuotaSynchronizer
    admission: AdmissionController
    latency_estimates: LatencyEstimates
    request_queue: RequestQueue

    def request_received(self, event: RequestReceived) -> None:
        """Forward, queue or reject a request."""
        if event.request_id in self.request_queue.forwarder.requests:
            return
        now = self.context.now
        request_class = self.context.request_classes.get(event.request_class)
        plan = self.context.plans.get(event.plan)
        if request_class is None or plan is None or event.deadline <= now:
            self.context.emit(Reject(event.request_id, 0.0))
            return
        limiter = self.limiter_registry.get_or_create(event.customer, event.quota_spread, plan)
        limiter.refill(now)
        limiter.record_demand(event.units, self.context.quota_time)
        first_sent_at = now - self.latency_estimates.retry_age(event, request_class)
        request = PendingRequest(event, request_class, limiter, now, first_sent_at, now)
        self.request_queue.forwarder.requests[request.id] = request
        self._apply_rate_limit(request)

    def _apply_rate_limit(self, request: PendingRequest) -> None:
        limiter = request.limiter
        if self._is_late_retry(request) and not self._can_afford_late_retry(request):
            self.request_queue.forwarder.answer(request, QUOTA_PERIOD, Reason.LATE_RETRY)
            return
        max_wait = self.request_queue.set_queue_deadline(request)
        if limiter.is_fine_grained:
            self.request_queue.fine_grained.request_reading(request)
        else:
            self.quota_synchronizer.schedule_report(limiter)
        if request.reported_units < 0 and not request.admitted_unsampled:
            self.request_queue.forwarder.answer_with_retry_after(request, QUOTA_PERIOD, Reason.QUOTA)
            return
        self.request_queue.admit(request, max_wait)

    def _is_late_retry(self, request: PendingRequest) -> bool:
        """Return whether this is a retry whose response would be late; it would displace a new request."""
        finished_at = self.context.now + self.latency_estimates.expected_response_time(request)
        return request.request.is_retry and finished_at > useful_until(request)

    def _can_afford_late_retry(self, request: PendingRequest) -> bool:
        """Return whether capacity and quota suffice for a request whose response has no value."""
        has_capacity = self.admission.has_spare_capacity(LATE_RETRY_LIMIT_FRACTION)
        return has_capacity and request.limiter.is_half_full()

    def body_received(self, request: PendingRequest, deadline: float) -> None:
        """Set the deadline of a request whose streamed body is complete, and start its latency objective."""
        if not request.request.body_incomplete:
            return
        request.request = replace(request.request, body_incomplete=False, deadline=deadline)
        request.first_sent_at += self.context.now - request.received_at
        for index, attempt in enumerate(request.attempts):
            if attempt.in_flight:
                self.request_queue.forwarder.set_late_timer(request, index)

    def client_disconnected(self, request: PendingRequest) -> None:
        """Cancel the request's attempts and remove it from the queue."""
        request.answered = True
        self.request_queue.forwarder.cancel_attempts(request)
        self.request_queue.remove(request)
        self.request_queue.release(request.limiter)
        self.request_queue.forwarder.remove_if_finished(request)

    def client_half_closed(self, request: PendingRequest) -> None:
        """Start no more attempts; one in flight may still serve a client that has only half-closed."""
        if request.answered or request.streaming:
            return
        request.not_resendable = True
        self.request_queue.remove(request)
        if not request.in_flight:
            self.request_queue.forwarder.answer(request, QUOTA_PERIOD, Reason.CLIENT_GONE)
        self.request_queue.release(request.limiter)
