"""Outlier detection: a failure score for each endpoint, by which load balancing avoids it."""

from quota_gateway.model.outcomes import Outcome
from quota_gateway.state.records import EndpointState, PendingRequest

HALF_LIFE = 8.0  # seconds in which a score halves: faults last five to forty
OUTLIER_THRESHOLD = 0.5  # score from which an endpoint is an outlier
MAX_SCORE = 8.0  # it is tried again after four half-lives at the latest
UNREACHABLE_SCORE = MAX_SCORE / 2  # score at least of one that can't be connected to
REJECTING_FOR = 15.0  # seconds that an endpoint is expected to reject a class and plan it has rejected


def decay(endpoint: EndpointState, now: float) -> None:
    """Let the score fall with the time since it was last decayed."""
    endpoint.failure_score *= 0.5 ** ((now - endpoint.decayed_at) / HALF_LIFE)
    endpoint.decayed_at = now


def is_outlier(endpoint: EndpointState) -> bool:
    """Return whether the score has reached the threshold."""
    return endpoint.failure_score >= OUTLIER_THRESHOLD


def record_failure(endpoint: EndpointState, outcome: Outcome) -> bool:
    """Raise the score for a failed attempt; return whether this made the endpoint an outlier."""
    was_outlier = is_outlier(endpoint)
    floor = UNREACHABLE_SCORE if outcome is Outcome.CONNECT_FAILED else 0.0
    endpoint.failure_score = max(min(2 * endpoint.failure_score + 1.0, MAX_SCORE), floor)
    return not was_outlier


def record_success(endpoint: EndpointState, request: PendingRequest) -> None:
    """Halve the score, and clear the record that the endpoint rejects such requests."""
    endpoint.failure_score /= 2
    endpoint.rejecting_until.pop(request.kind, None)


def record_rejection(endpoint: EndpointState, request: PendingRequest, now: float) -> None:
    """Avoid the endpoint for such requests; it may accept others, so this is no sign of a fault."""
    endpoint.rejecting_until[request.kind] = now + REJECTING_FOR


def is_rejecting(endpoint: EndpointState, request: PendingRequest, now: float) -> bool:
    """Return whether the endpoint is expected to reject such requests."""
    return endpoint.rejecting_until.get(request.kind, 0.0) > now
