"""Rate limiting of requests: each is forwarded at once, queued for a bounded time, or rejected."""

from dataclasses import dataclass

from quota_gateway.model.actions import Reason
from quota_gateway.model.timers import QueueTimeoutTimer, ReleaseQueueTimer
from quota_gateway.policy.admission import AdmissionController
from quota_gateway.policy.fine_grained_quota import FineGrainedQuota
from quota_gateway.policy.forwarding import Forwarder
from quota_gateway.policy.latency_estimates import useful_until
from quota_gateway.policy.token_bucket import EPSILON
from quota_gateway.state.context import EngineContext
from quota_gateway.state.records import Limiter, PendingRequest

MAX_WAIT_FRACTION = 0.4  # longest wait, as a fraction of the latency objective: the endpoint needs the rest
# Part of the concurrency limit in use, below which requests over the quota are forwarded if their plan pays.
OVER_QUOTA_LIMIT_FRACTION = 0.5
MIN_TIMER_DELAY = 1e-6  # shortest delay of a timer, in seconds


@dataclass(slots=True, eq=False)
class RequestQueue:
    """Charges requests to their customers' limiters, and queues them in order of arrival."""

    context: EngineContext
    admission: AdmissionController
    fine_grained: FineGrainedQuota
    forwarder: Forwarder

    def set_queue_deadline(self, request: PendingRequest) -> float:
        """Set until when the request may be queued, and return the longest wait in seconds."""
        now = self.context.now
        useful_time = max(useful_until(request) - now, 0.0)
        remaining_time = request.request.deadline - now
        wait = min(MAX_WAIT_FRACTION * request.latency_objective, useful_time, remaining_time / 2)
        request.queue_deadline = now + wait
        return wait

    def admit(self, request: PendingRequest, max_wait: float) -> None:
        """Forward a request that the limiter covers, or queue it if it can leave within `max_wait`."""
        limiter = request.limiter
        may_leave = not limiter.queue and limiter.has_free_slot() and not limiter.awaiting_reading
        if may_leave and (request.admitted_unsampled or limiter.wait_time(request.units) <= 0):
            limiter.balance -= request.units if limiter.plan.rate > 0 else 0.0
            self.fine_grained.request_forwarded(request)
            self.forwarder.forward(request)
            return
        wait = limiter.queueing_time(request.units)
        if wait > max_wait and not limiter.awaiting_reading:
            self._handle_over_quota(request, wait)
            return
        limiter.enqueue(request)
        self.release(limiter)
        self.context.set_timer(max(max_wait, MIN_TIMER_DELAY), QueueTimeoutTimer(request.id))

    def release(self, limiter: Limiter) -> None:
        """Forward requests that the balance covers, reject those out of time, and set the next timer."""
        now = self.context.now
        limiter.refill(now)
        while limiter.queue and not limiter.awaiting_reading:
            request = limiter.queue[0]
            wait = limiter.wait_time(request.units)
            too_long = limiter.is_fine_grained and now + wait > request.queue_deadline + EPSILON
            if request.answered or too_long:
                self._drop(request)
            elif limiter.has_free_slot() and wait <= EPSILON:
                limiter.dequeue(request)
                self.fine_grained.request_forwarded(request)
                self.forwarder.forward(request)
            else:
                self._set_release_timer(limiter, wait)
                return

    def _set_release_timer(self, limiter: Limiter, wait: float) -> None:
        release_at = self.context.now + wait
        is_needed = (
            limiter.release_timer_at <= self.context.now or release_at < limiter.release_timer_at - EPSILON
        )
        if limiter.has_free_slot() and is_needed:
            limiter.release_timer_at = release_at
            self.context.set_timer(max(wait, MIN_TIMER_DELAY), ReleaseQueueTimer(limiter.customer))

    def handle_timeout(self, request: PendingRequest) -> None:
        """Drop a request from any place in the queue: its deadline may be earlier than that of the head."""
        if request in request.limiter.queue:
            request.limiter.refill(self.context.now)
            self._drop(request)
            self.release(request.limiter)

    def remove(self, request: PendingRequest) -> None:
        """Remove a request if it is queued, and refund its units."""
        if request in request.limiter.queue:
            request.limiter.dequeue(request)
            request.limiter.balance += request.units
            self.fine_grained.request_withdrawn(request)

    def _drop(self, request: PendingRequest) -> None:
        self.remove(request)
        self._handle_over_quota(request, request.limiter.wait_time(request.units))

    def _handle_over_quota(self, request: PendingRequest, wait: float) -> None:
        """Forward a request over the quota without a charge, or reject it.

        It is forwarded if there is spare capacity, the plan has no hard limit, and the response is worth more
        than it costs.
        """
        plan = request.plan
        worth_serving = plan.over_quota_value > plan.over_quota_cost and plan.hard_limit_rate <= 0
        has_capacity = self.admission.has_spare_capacity(OVER_QUOTA_LIMIT_FRACTION)
        if worth_serving and has_capacity and not request.attempts and not request.answered:
            request.over_quota = True
            self.forwarder.forward(request)
        else:
            self.forwarder.answer_with_retry_after(request, wait, Reason.QUOTA)
