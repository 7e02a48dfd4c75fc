"""Admission control: adaptive concurrency limits, and load shedding while answers are late."""

from dataclasses import dataclass

from quota_gateway.policy.endpoint_registry import FLEET_START_LIMIT, START_TO_MINIMUM, EndpointRegistry
from quota_gateway.state.context import EngineContext
from quota_gateway.state.records import AttemptState, EndpointState, PendingRequest

LATE_FRACTION = 0.35  # of the latency objective from which an answer is late: short queues are no overload
MIN_IN_FLIGHT = 1.0  # attempts that a gateway may always have in flight; a fraction of one is drawn
LIMIT_SLACK = 2.0  # attempts above those in flight that a late answer leaves: chance alone needs them
LIMIT_DECREASE = 0.5  # subtracted from the limit for a late answer
LIMIT_INCREASE = 0.5  # added for one in time while half of the limit is in use
ADMIT_DECREASE = 0.7  # factor of the admitted part for a late answer
ADMIT_INCREASE = 1.25  # and for one in time: the part is stable where 38% are late
MIN_ADMIT_RATIO = 0.05  # with less, the end of an overload would not be noticed
SAMPLE_INTERVAL = 1.0  # seconds from which an answer counts in full: where more come each counts for less
FAILURE_SAMPLE_WEIGHT = 0.0375  # of one answer in the fleet's failure rate


@dataclass(slots=True, eq=False)
class AdmissionController:
    """Adjusts the limit on attempts in flight and the fraction of requests that are admitted."""

    context: EngineContext
    registry: EndpointRegistry
    last_sample_at: float
    admit_ratio: float = 1.0
    in_flight: int = 0  # attempts that are not late
    concurrency_limit: float = float("inf")
    fleet_failure_rate: float = 0.0  # passed on in a hot restart

    def should_shed(self, request: PendingRequest) -> bool:
        """Shed load while answers are late, first of customers with little quota left."""
        chance = self.context.random
        if self.in_flight >= self.concurrency_limit + chance.random() - 0.5:
            return True
        penalty = 0.0 if request.limiter.is_half_full() else 1.0
        return chance.random() > 2 * self.admit_ratio - penalty

    def has_spare_capacity(self, limit_fraction: float) -> bool:
        """Return whether nothing is shed and less than this part of the limit is in flight."""
        return self.admit_ratio >= 1.0 and self.in_flight < limit_fraction * self.concurrency_limit

    def attempt_started(self, endpoint: EndpointState) -> None:
        """Count an attempt."""
        endpoint.in_flight += 1
        endpoint.last_used_at = self.context.now
        self.in_flight += 1

    def attempt_finished(self, attempt: AttemptState) -> None:
        """Release the concurrency slot of an attempt."""
        attempt.endpoint.in_flight -= 1
        attempt.endpoint.late_in_flight -= attempt.is_late
        self.in_flight -= not attempt.is_late

    def attempt_late(self, attempt: AttemptState) -> None:
        """Sample an attempt once it is late; it no longer counts against the gateway's limit."""
        attempt.is_late = True
        attempt.endpoint.late_in_flight += 1
        self.in_flight -= 1
        self.record_sample(True, attempt.endpoint)

    def record_sample(self, late: bool, endpoint: EndpointState) -> None:
        """Adjust the limits and the admit ratio; the ratio's step is weighted by the time since the last."""
        endpoint.concurrency_limit = _adjusted(
            endpoint.concurrency_limit, late, endpoint.in_flight, endpoint.minimum_limit
        )
        fleet_minimum = FLEET_START_LIMIT * START_TO_MINIMUM * len(self.registry.serving)
        minimum = max(MIN_IN_FLIGHT, fleet_minimum / self.context.settings.gateway_count)
        self.concurrency_limit = _adjusted(self.concurrency_limit, late, self.in_flight, minimum)
        weight = min(1.0, (self.context.now - self.last_sample_at) / SAMPLE_INTERVAL)
        self.last_sample_at = self.context.now
        self.admit_ratio *= (ADMIT_DECREASE if late else ADMIT_INCREASE) ** weight
        self.admit_ratio = min(max(self.admit_ratio, MIN_ADMIT_RATIO), 1.0)

    def record_failure_rate(self, failed: bool) -> None:
        """Count one answer in the moving average of failed or late ones."""
        self.fleet_failure_rate += FAILURE_SAMPLE_WEIGHT * (failed - self.fleet_failure_rate)


def _adjusted(limit: float, late: bool, in_flight: int, minimum: float) -> float:
    """Return a limit after an answer: below what was in flight for a late one, higher if it was in use."""
    if late:
        return max(min(limit, in_flight + LIMIT_SLACK) - LIMIT_DECREASE, minimum)
    return limit + LIMIT_INCREASE if in_flight + 1 > limit / 2 else limit
