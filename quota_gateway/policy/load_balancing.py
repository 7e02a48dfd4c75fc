"""Load balancing: the power of two random choices, by expected response time."""

from collections.abc import Sequence
from dataclasses import dataclass

from quota_gateway.policy.endpoint_registry import EndpointRegistry
from quota_gateway.policy.latency_estimates import LatencyEstimates
from quota_gateway.policy.outlier_detection import OUTLIER_THRESHOLD, decay_score, is_rejecting
from quota_gateway.policy.retries import may_retry_at
from quota_gateway.policy.slow_start import SlowStart
from quota_gateway.policy.token_bucket import EPSILON
from quota_gateway.state.context import EngineContext
from quota_gateway.state.records import EndpointState, PendingRequest

# Candidates that are compared. Two suffice to avoid loaded endpoints; with more, all attempts of a gateway
# would go to the endpoints that this gateway sees as idle.
CHOICES = 2
MAX_DRAWS = 8  # draws per choice; with half of the fleet unusable, one choice in 256 needs a scan instead


@dataclass(slots=True, eq=False)
class LoadBalancer:
    """Chooses an endpoint for each attempt."""

    context: EngineContext
    endpoint_registry: EndpointRegistry
    slow_start: SlowStart
    latency_estimates: LatencyEstimates

    def choose(self, request: PendingRequest) -> EndpointState | None:
        """Return the better of two endpoints drawn at random, or None if none may be used.

        Unusable endpoints are drawn again, and so are outliers while draws are left.
        """
        pool = self._eligible_endpoints(request)
        self.slow_start.accepted_endpoint = None
        if not pool:
            return self._first_usable(request, pool)
        best: EndpointState | None = None
        best_cost = 0.0
        compared = 0
        for draw in range(MAX_DRAWS):
            endpoint = self._draw(pool)
            if self.slow_start.is_warming_up(endpoint):
                if draw == 0 and self._slow_start_allows(request, endpoint, False):
                    return endpoint
                continue
            if not self.may_send(request, endpoint):
                continue
            cost = self._cost(request, endpoint)
            if best is None or cost < best_cost:
                best = endpoint
                best_cost = cost
            compared += 1
            if compared >= CHOICES and best_cost < OUTLIER_THRESHOLD * request.latency_objective:
                break
        best = best or self._first_usable(request, pool)
        if best is None:
            endpoint = self._draw(pool)
            return endpoint if self._slow_start_allows(request, endpoint, True) else None
        return best

    def may_send(self, request: PendingRequest, endpoint: EndpointState) -> bool:
        """Return whether another attempt may be sent to the endpoint: the single place for these rules."""
        settings = self.context.settings
        past_deadline = self.context.now >= request.request.deadline and not request.request.body_incomplete
        if request.answered or request.streaming or request.not_resendable or past_deadline:
            return False
        if not self.endpoint_registry.is_usable(endpoint):
            return False
        if len(request.attempts) >= settings.max_attempts:
            return False
        if request.in_flight and not settings.hedging_allowed:
            return False
        if not may_retry_at(request, endpoint, self.context.now):
            return False
        if self.slow_start.is_warming_up(endpoint) and endpoint is not self.slow_start.accepted_endpoint:
            return False
        if request.attempts or request.plan.hard_limit_rate <= 0:
            return True
        return request.units <= request.limiter.hard_limit_balance + EPSILON

    def _eligible_endpoints(self, request: PendingRequest) -> Sequence[EndpointState]:
        candidates = self.endpoint_registry.candidates
        first = request.first_possibly_executed
        if first is None or not request.has_idempotency_key:
            return candidates
        group = request.deduplication_group(first.endpoint)
        return [endpoint for endpoint in candidates if request.deduplication_group(endpoint) == group]

    def _draw(self, pool: Sequence[EndpointState]) -> EndpointState:
        return pool[int(self.context.random.random() * len(pool))]

    def _slow_start_allows(
        self, request: PendingRequest, endpoint: EndpointState, warm_endpoints_full: bool
    ) -> bool:
        return self.slow_start.draw(endpoint, warm_endpoints_full) and self.may_send(request, endpoint)

    def _first_usable(self, request: PendingRequest, pool: Sequence[EndpointState]) -> EndpointState | None:
        fallbacks = (*pool, *self.endpoint_registry.serving_endpoints)
        return next((endpoint for endpoint in fallbacks if self.may_send(request, endpoint)), None)

    def _cost(self, request: PendingRequest, endpoint: EndpointState) -> float:
        """Return the expected response time in seconds, plus penalties for failures, lateness and repeats."""
        decay_score(endpoint, self.context.now)
        repeats = sum(1 for attempt in request.attempts if attempt.endpoint is endpoint)
        repeats += is_rejecting(endpoint, request, self.context.now)
        relative_latency = self.latency_estimates.relative_response_time(endpoint.endpoint.machine_type)
        relative_latency *= endpoint.in_flight + 1.0
        penalty = endpoint.failure_score + endpoint.late_in_flight + repeats
        return (
            self.latency_estimates.expected_response_time(request) * relative_latency
            + penalty * request.latency_objective
        )
