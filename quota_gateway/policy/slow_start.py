"""Slow start: endpoints that are warming up get a budget of the fleet, of which each gateway spends its part.

An endpoint with the part s of its capacity fails once it is sent N = overload ratio * s times what a warm
one does in the window. Each gateway accepts a draw of it with a probability of BUDGET_FRACTION *
overload ratio * s at most: the fleet stays below N whatever its rates are (derived in docs/design.md).
"""

from dataclasses import dataclass

from quota_gateway.policy.endpoint_registry import EndpointRegistry
from quota_gateway.policy.outlier_detection import is_outlier
from quota_gateway.state.context import EngineContext
from quota_gateway.state.records import EndpointState

BUDGET_FRACTION = 0.5  # of N that the fleet spends at most: twice the even load may come before it is passed


@dataclass(slots=True, eq=False)
class SlowStart:
    """Draws at random which attempts go to endpoints that are warming up."""

    context: EngineContext
    registry: EndpointRegistry
    choice: EndpointState | None = None  # the endpoint that the last draw allowed

    def factor(self, endpoint: EndpointState) -> float:
        """Return the least fraction of its capacity that an endpoint has by now; 1 once it is warm."""
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
        return self.factor(endpoint) < 1.0

    def budget(self, endpoint: EndpointState) -> float:
        """Return the highest probability with which a draw of the endpoint may be accepted."""
        if endpoint not in self.registry.assigned_subset:
            return 0.0
        widening = len(self.registry.candidates) / len(self.registry.assigned_subset)
        ratio = self.context.settings.slow_start_overload_ratio
        return BUDGET_FRACTION * ratio * self.factor(endpoint) * widening

    def probability(self, endpoint: EndpointState) -> float:
        """Return the probability with which a draw of the endpoint is accepted, within its budget.

        Work is in proportion to capacity: where few others are healthy and warm, it is more.
        """
        candidates = self.registry.candidates
        capacity = sum(self.factor(candidate) for candidate in candidates if not is_outlier(candidate))
        even = self.factor(endpoint) * len(candidates) / max(capacity, 1.0)
        return min(even, self.budget(endpoint))

    def draw(self, endpoint: EndpointState, warm_ones_are_full: bool) -> bool:
        """Draw whether the attempt goes there; the budget's rest is used once the warm ones are full."""
        if not self.is_warming_up(endpoint):
            return False
        probability = self.probability(endpoint)
        if warm_ones_are_full:
            probability = self.budget(endpoint) - probability
        self.choice = endpoint if self.context.random.random() < probability else None
        return self.choice is endpoint
