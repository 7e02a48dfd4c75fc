"""Slow start: limits the load on endpoints that are warming up, without coordination between gateways.

An endpoint that has the fraction s of its capacity fails once it is sent N = overload ratio * s times what a
warm one does in the window. Each gateway accepts a draw of such an endpoint with a probability of at most
BUDGET_FRACTION * overload ratio * s, so that the fleet stays below N at any request rate (derived in
docs/design.md).
"""

from dataclasses import dataclass

from quota_gateway.policy.endpoint_registry import EndpointRegistry
from quota_gateway.policy.outlier_detection import is_outlier
from quota_gateway.state.context import EngineContext
from quota_gateway.state.records import EndpointState

BUDGET_FRACTION = 0.5  # part of N that the fleet may use: twice the even load may arrive before it exceeds N


@dataclass(slots=True, eq=False)
class SlowStart:
    """Decides at random which attempts go to endpoints that are warming up."""

    context: EngineContext
    endpoint_registry: EndpointRegistry
    accepted_endpoint: EndpointState | None = None  # endpoint that the last draw accepted

    def capacity_fraction(self, endpoint: EndpointState) -> float:
        """Return the fraction of its capacity that an endpoint has at least; 1 once it is warm."""
        settings = self.context.settings
        started_at = endpoint.started_at
        age = settings.slow_start_window if started_at is None else max(0.0, self.context.now - started_at)
        if age >= settings.slow_start_window:
            return 1.0
        minimum = settings.slow_start_minimum
        return minimum + (1.0 - minimum) * age / settings.slow_start_window

    def is_warming_up(self, endpoint: EndpointState) -> bool:
        """Return whether the endpoint may have less than its full capacity."""
        started_at = endpoint.started_at
        if started_at is None or self.context.now - started_at >= self.context.settings.slow_start_window:
            return False
        return self.capacity_fraction(endpoint) < 1.0

    def max_acceptance_probability(self, endpoint: EndpointState) -> float:
        """Return the highest allowed probability of accepting a draw of the endpoint."""
        if endpoint not in self.endpoint_registry.assigned_subset:
            return 0.0
        widening = len(self.endpoint_registry.candidates) / len(self.endpoint_registry.assigned_subset)
        ratio = self.context.settings.slow_start_overload_ratio
        return BUDGET_FRACTION * ratio * self.capacity_fraction(endpoint) * widening

    def acceptance_probability(self, endpoint: EndpointState) -> float:
        """Return the probability of accepting a draw of the endpoint, within its budget.

        Endpoints get load in proportion to their capacity: more where few others are healthy and warm.
        """
        candidates = self.endpoint_registry.candidates
        capacity = sum(
            self.capacity_fraction(candidate) for candidate in candidates if not is_outlier(candidate)
        )
        even_probability = self.capacity_fraction(endpoint) * len(candidates) / max(capacity, 1.0)
        return min(even_probability, self.max_acceptance_probability(endpoint))

    def draw(self, endpoint: EndpointState, warm_endpoints_full: bool) -> bool:
        """Accept the endpoint with its probability, or with its budget's rest once the warm ones are full."""
        if not self.is_warming_up(endpoint):
            return False
        probability = self.acceptance_probability(endpoint)
        if warm_endpoints_full:
            probability = self.max_acceptance_probability(endpoint) - probability
        self.accepted_endpoint = endpoint if self.context.random.random() < probability else None
        return self.accepted_endpoint is endpoint
