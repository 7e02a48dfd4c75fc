"""Handling of attempt results: samples, charges and retries."""

from dataclasses import dataclass

from quota_gateway.model.actions import Reason
from quota_gateway.model.events import AttemptEnded, ResponseStarted, ResponseStreamStarted
from quota_gateway.model.outcomes import Outcome
from quota_gateway.policy import outlier_detection
from quota_gateway.policy.admission import LATE_THRESHOLD_FRACTION, AdmissionController
from quota_gateway.policy.forwarding import Forwarder
from quota_gateway.policy.latency_estimates import LatencyEstimates
from quota_gateway.policy.request_queue import RequestQueue
from quota_gateway.state.context import EngineContext
from quota_gateway.state.limiter_state import QUOTA_PERIOD
from quota_gateway.state.records import AttemptState, PendingRequest


@dataclass(slots=True, eq=False)
class AttemptResults:
    """Updates estimates and limits with the result of each attempt, and retries or answers its request."""

    context: EngineContext
    admission: AdmissionController
    latency_estimates: LatencyEstimates
    forwarder: Forwarder
    request_queue: RequestQueue

    def attempt_ended(self, event: AttemptEnded) -> None:
        """Record the outcome, charge the actual units, and retry, answer or remove the request."""
        request = self.forwarder.requests.get(event.request_id)
        attempt = request.attempt_in_flight(event.attempt_index) if request is not None else None
        if request is None or attempt is None:
            return
        attempt.in_flight = False
        attempt.proven_not_executed = event.outcome.proves_not_executed
        request.never_sent = request.never_sent and event.outcome is Outcome.NOT_SENT
        if not attempt.has_response_started:
            self.admission.attempt_finished(attempt)
        request.in_flight -= 1
        request.limiter.in_flight -= 1
        possibly_executed = (other for other in request.attempts if not other.proven_not_executed)
        request.first_possibly_executed = next(possibly_executed, None)
        if not attempt.is_streaming:
            self._record_result(request, attempt, event.outcome, event.elapsed)
        self._charge_billed_units(request, event.billed_units)
        request.answered = request.answered or event.request_answered
        if not request.answered and not request.in_flight:
            self._retry_or_answer(request, event.outcome)
        self.forwarder.remove_if_finished(request)
        if request.limiter.queue and request.plan.concurrency > 0:
            self.request_queue.release(request.limiter)

    def attempt_late(self, request: PendingRequest, attempt_index: int) -> None:
        """Record a late sample for an attempt that is still waiting for its response."""
        attempt = request.attempts[attempt_index]
        if attempt.awaits_response:
            self.admission.attempt_late(attempt)

    def response_started(self, request: PendingRequest, event: ResponseStarted) -> None:
        """Record the first byte of a response whose outcome, and a retry, depend on the rest of it."""
        attempt = request.attempt_in_flight(event.attempt_index)
        if attempt is not None:
            self._record_first_byte(request, attempt, event.elapsed)

    def stream_started(self, request: PendingRequest, event: ResponseStreamStarted) -> None:
        """Record a response as successful once it is streamed: no other attempt can replace it."""
        request.streaming = True
        attempt = request.attempt_in_flight(event.attempt_index)
        if attempt is not None:
            elapsed = event.elapsed or self.context.now - attempt.sent_at
            self._record_first_byte(request, attempt, elapsed)
            attempt.is_streaming = True
            self._record_result(request, attempt, Outcome.SUCCESS, elapsed)

    def _record_first_byte(self, request: PendingRequest, attempt: AttemptState, elapsed: float) -> None:
        """Sample the load by the time to the first byte, and release the concurrency slot.

        How long an endpoint takes to write the rest, or a client to read it, says nothing of the load.
        """
        if attempt.has_response_started:
            return
        self.admission.attempt_finished(attempt)
        if not attempt.is_late:
            self.admission.record_sample(self._is_late(request, elapsed), attempt.endpoint)
        attempt.time_to_first_byte = elapsed

    def _is_late(self, request: PendingRequest, elapsed: float) -> bool:
        return elapsed > LATE_THRESHOLD_FRACTION * request.latency_objective

    def _charge_billed_units(self, request: PendingRequest, billed_units: float) -> None:
        if billed_units <= 0 or request.units_settled or not request.is_charged:
            return
        request.units_settled = True
        limiter = request.limiter
        limiter.refill(self.context.now)
        unused = request.units - billed_units
        self.forwarder.peer_process.report(limiter, -unused)
        limiter.refund(unused)
        if limiter.is_fine_grained and request.reported_units > 0:
            limiter.unreported_units -= unused * request.reported_units / request.units
        self.request_queue.release(limiter)

    def _retry_or_answer(self, request: PendingRequest, outcome: Outcome) -> None:
        retry_deadline = min(request.request.deadline, request.first_sent_at + request.latency_objective)
        # An attempt that was not executed took no work, so its retry does not use the retry budget. While
        # load is shed, this holds for the admitted fraction of such retries only.
        budget_exempt = (
            outcome.proves_not_executed and self.context.random.random() < self.admission.admit_ratio
        )
        in_time = retry_deadline - self.context.now > self.latency_estimates.expected_response_time(request)
        affordable = budget_exempt or self.forwarder.retry_budget.is_available()
        if outcome is Outcome.TIMED_OUT or not in_time or not affordable:
            self.forwarder.answer(request, QUOTA_PERIOD, Reason.NO_RETRY)
            return
        if not budget_exempt:
            self.forwarder.retry_budget.withdraw()
        self.forwarder.forward(request)

    def _record_result(
        self, request: PendingRequest, attempt: AttemptState, outcome: Outcome, elapsed: float
    ) -> None:
        if outcome in (Outcome.CANCELLED, Outcome.NOT_SENT):
            return
        endpoint = attempt.endpoint
        outlier_detection.decay_score(endpoint, self.context.now)
        if outcome is Outcome.REJECTED:
            outlier_detection.record_rejection(endpoint, request, self.context.now)
            return
        failed = outcome is not Outcome.SUCCESS
        if attempt.time_to_first_byte is not None:
            elapsed = attempt.time_to_first_byte
        late = self._is_late(request, elapsed)
        self.admission.record_failure_rate(failed or late)
        is_sampled = attempt.is_late or attempt.has_response_started
        if not is_sampled and outcome in (Outcome.SUCCESS, Outcome.TIMED_OUT):
            self.admission.record_sample(late, endpoint)
        if not failed:
            outlier_detection.record_success(endpoint, request)
            self.latency_estimates.record(request, attempt, elapsed)
        elif outlier_detection.record_failure(endpoint, outcome):
            self.admission.endpoint_registry.refresh_candidates()
