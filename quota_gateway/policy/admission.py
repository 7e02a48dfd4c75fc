"""Admission control: adaptive concurrency limits, and load shedding while responses are late."""

from dataclasses import dataclass

from quota_gateway.policy.endpoint_registry import (
    FLEET_INITIAL_LIMIT,
    MINIMUM_TO_INITIAL_LIMIT,
    EndpointRegistry,
)
from quota_gateway.state.context import EngineContext
from quota_gateway.state.records import AttemptState, EndpointState, PendingRequest

# Fraction of the latency objective after which a response is late. It is high enough that a short queue at an
# endpoint does not count as an overload.
LATE_THRESHOLD_FRACTION = 0.35

# Concurrency limits and their steps, in attempts in flight; a fractional limit is rounded at random.
MIN_CONCURRENCY_LIMIT = 1.0  # lowest limit of a gateway
LIMIT_HEADROOM = 2.0  # margin above the attempts in flight after a late response: random arrivals need it
LIMIT_DECREASE = 0.5  # subtracted from the limit for each late response
LIMIT_INCREASE = 0.5  # added for each response in time while at least half of the limit is in use

# Factors of the admit ratio for a late response and for one in time: the ratio is stable while 38% are late.
ADMIT_DECREASE = 0.7
ADMIT_INCREASE = 1.25
MIN_ADMIT_RATIO = 0.05  # a lower ratio would leave too few responses to notice the end of an overload

SAMPLE_INTERVAL = 1.0  # seconds since the last sample for a sample to have its full weight
FAILURE_SAMPLE_WEIGHT = 0.0375  # weight of one response in the moving average of the fleet's failure rate


@dataclass(slots=True, eq=False)
class AdmissionController:
    """Adjusts the limit on attempts in flight and the fraction of requests that are admitted."""

    context: EngineContext
    endpoint_registry: EndpointRegistry
    last_sample_at: float
    admit_ratio: float = 1.0
    in_flight: int = 0  # attempts in flight that are not late yet
    concurrency_limit: float = float("inf")
    fleet_failure_rate: float = 0.0  # fraction of failed or late responses; handed over in a hot restart

    def should_shed(self, request: PendingRequest) -> bool:
        """Return whether to shed the request; those of customers with few tokens left go first."""
        rng = self.context.random
        if self.in_flight >= self.concurrency_limit + rng.random() - 0.5:
            return True
        penalty = 0.0 if request.limiter.is_half_full() else 1.0
        return rng.random() > 2 * self.admit_ratio - penalty

    def has_spare_capacity(self, limit_fraction: float) -> bool:
        """Return whether no load is shed and less than this fraction of the limit is in flight."""
        return self.admit_ratio >= 1.0 and self.in_flight < limit_fraction * self.concurrency_limit

    def attempt_started(self, endpoint: EndpointState) -> None:
        """Count a started attempt against the limits of the gateway and the endpoint."""
        endpoint.in_flight += 1
        endpoint.last_used_at = self.context.now
        self.in_flight += 1

    def attempt_finished(self, attempt: AttemptState) -> None:
        """Release the concurrency slot of a finished attempt."""
        attempt.endpoint.in_flight -= 1
        attempt.endpoint.late_in_flight -= attempt.is_late
        self.in_flight -= not attempt.is_late

    def attempt_late(self, attempt: AttemptState) -> None:
        """Record a late sample for an attempt in flight; the gateway's limit no longer counts it."""
        attempt.is_late = True
        attempt.endpoint.late_in_flight += 1
        self.in_flight -= 1
        self.record_sample(True, attempt.endpoint)

    def record_sample(self, late: bool, endpoint: EndpointState) -> None:
        """Adjust the limits and the admit ratio.

        A sample changes the ratio in proportion to the time since the last one, up to SAMPLE_INTERVAL.
        """
        endpoint.concurrency_limit = _adjusted_limit(
            endpoint.concurrency_limit, late, endpoint.in_flight, endpoint.min_concurrency_limit
        )
        fleet_minimum = (
            FLEET_INITIAL_LIMIT * MINIMUM_TO_INITIAL_LIMIT * len(self.endpoint_registry.serving_endpoints)
        )
        minimum = max(MIN_CONCURRENCY_LIMIT, fleet_minimum / self.context.settings.gateway_count)
        self.concurrency_limit = _adjusted_limit(self.concurrency_limit, late, self.in_flight, minimum)
        weight = min(1.0, (self.context.now - self.last_sample_at) / SAMPLE_INTERVAL)
        self.last_sample_at = self.context.now
        self.admit_ratio *= (ADMIT_DECREASE if late else ADMIT_INCREASE) ** weight
        self.admit_ratio = min(max(self.admit_ratio, MIN_ADMIT_RATIO), 1.0)

    def record_failure_rate(self, failed: bool) -> None:
        """Add one response to the moving average of those that failed or were late."""
        self.fleet_failure_rate += FAILURE_SAMPLE_WEIGHT * (failed - self.fleet_failure_rate)


def _adjusted_limit(limit: float, late: bool, in_flight: int, minimum: float) -> float:
    """Return the limit after a response: lower if that was late, higher if not and the limit was in use."""
    if late:
        return max(min(limit, in_flight + LIMIT_HEADROOM) - LIMIT_DECREASE, minimum)
    return limit + LIMIT_INCREASE if in_flight + 1 > limit / 2 else limit
