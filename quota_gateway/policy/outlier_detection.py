"""Outlier detection: a failure score for each endpoint, so that load balancing avoids failing ones."""

from quota_gateway.model.outcomes import Outcome
from quota_gateway.state.records import EndpointState, PendingRequest

SCORE_HALF_LIFE = 8.0  # seconds in which a score halves; faults last five to forty seconds
OUTLIER_THRESHOLD = 0.5  # score from which an endpoint is an outlier
MAX_SCORE = 8.0  # highest score: after four half-lives at most, an endpoint is tried again
UNREACHABLE_SCORE = MAX_SCORE / 2  # lowest score after a failed connect
REJECTION_LIFETIME = 15.0  # seconds for which an endpoint that rejected a class and plan is avoided for them


def decay_score(endpoint: EndpointState, now: float) -> None:
    """Apply the decay since the last call to the failure score."""
    endpoint.failure_score *= 0.5 ** ((now - endpoint.decayed_at) / SCORE_HALF_LIFE)
    endpoint.decayed_at = now


def is_outlier(endpoint: EndpointState) -> bool:
    """Return whether the score has reached the threshold."""
    return endpoint.failure_score >= OUTLIER_THRESHOLD


def record_failure(endpoint: EndpointState, outcome: Outcome) -> bool:
    """Raise the score after a failed attempt; return whether this made the endpoint an outlier."""
    was_outlier = is_outlier(endpoint)
    minimum = UNREACHABLE_SCORE if outcome is Outcome.CONNECT_FAILED else 0.0
    endpoint.failure_score = max(min(2 * endpoint.failure_score + 1.0, MAX_SCORE), minimum)
    return not was_outlier


def record_success(endpoint: EndpointState, request: PendingRequest) -> None:
    """Halve the score, and no longer expect the endpoint to reject the request's class and plan."""
    endpoint.failure_score /= 2
    endpoint.rejecting_until.pop(request.rejection_key, None)


def record_rejection(endpoint: EndpointState, request: PendingRequest, now: float) -> None:
    """Avoid the endpoint for requests of this class and plan; it may accept others, so no score is raised."""
    endpoint.rejecting_until[request.rejection_key] = now + REJECTION_LIFETIME


def is_rejecting(endpoint: EndpointState, request: PendingRequest, now: float) -> bool:
    """Return whether the endpoint is expected to reject the request's class and plan."""
    return endpoint.rejecting_until.get(request.rejection_key, 0.0) > now
