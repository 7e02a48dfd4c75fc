"""Retries: a budget over all requests, and the limits that a request's idempotency sets."""

from dataclasses import dataclass

from quota_gateway.model.settings import Idempotency, IdempotencyScope
from quota_gateway.state.records import EndpointState, PendingRequest

RETRIES_PER_REQUEST = 0.15  # retries earned by each first attempt, which bounds the retry load of an incident
MAX_RETRY_BALANCE = 10.0  # largest balance, in retries: enough for the sudden failure of one endpoint


@dataclass(slots=True, eq=False)
class RetryBudget:
    """The balance of retries; a retry after an attempt that was not executed may be made without it."""

    balance: float = MAX_RETRY_BALANCE

    def deposit(self) -> None:
        """Add the fraction of a retry that a first attempt earns."""
        self.balance = min(self.balance + RETRIES_PER_REQUEST, MAX_RETRY_BALANCE)

    def is_available(self) -> bool:
        """Return whether the balance covers a retry."""
        return self.balance >= 1.0

    def withdraw(self) -> None:
        """Subtract one retry."""
        self.balance -= 1.0


def may_retry_at(request: PendingRequest, endpoint: EndpointState, now: float) -> bool:
    """Return whether another attempt at the endpoint is safe: the request can't take effect twice."""
    first = request.first_possibly_executed
    if first is None:
        return True
    if request.request_class.idempotency is Idempotency.NON_IDEMPOTENT:
        return False
    if not request.has_idempotency_key:
        return True
    same_group = request.deduplication_group(first.endpoint) == request.deduplication_group(endpoint)
    return same_group and now - first.sent_at < request.request_class.idempotency_window


def remaining_idempotency_window(request: PendingRequest, now: float) -> float:
    """Return the seconds within which a retry with an idempotency key must be sent; 0 for no bound."""
    first = request.first_possibly_executed
    if first is None or not request.has_idempotency_key:
        return 0.0
    return first.sent_at + request.request_class.idempotency_window - now


def client_may_retry(request: PendingRequest) -> bool:
    """Return whether the client can safely send the request again."""
    if request.first_possibly_executed is None:
        return True
    request_class = request.request_class
    deduplicated = request.has_idempotency_key and request_class.idempotency_scope is IdempotencyScope.ALL
    return deduplicated or request_class.idempotency is Idempotency.IDEMPOTENT
