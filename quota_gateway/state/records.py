"""The state of requests, attempts and endpoints that the mechanisms share, without any policy."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from quota_gateway.model.endpoints import Endpoint, EndpointStatus
from quota_gateway.model.events import RequestReceived
from quota_gateway.model.settings import Idempotency, IdempotencyScope, Plan, RequestClass
from quota_gateway.policy.token_bucket import TokenBucketLimiter


@dataclass(slots=True, eq=False)
class EndpointState:
    """The state of an endpoint at this gateway; times are in seconds."""

    endpoint: Endpoint
    concurrency_limit: float  # attempts that this gateway may have in flight at the endpoint
    decayed_at: float  # when `failure_score` was last decayed
    min_concurrency_limit: float = 1.0  # lower bound of `concurrency_limit`
    in_flight: int = 0  # attempts, including late ones
    late_in_flight: int = 0  # attempts in flight that are late
    failure_score: float = 0.0  # doubled and raised by one by a failure, halved by time and by a success
    last_used_at: float = 0.0  # when the last attempt started
    started_at: float | None = None  # start of its slow start window, by this gateway's clock
    # Until when the endpoint is expected to reject requests, by request class and plan.
    rejecting_until: dict[tuple[str, str], float] = field(default_factory=dict)
    id: str = field(init=False)  # the id that discovery lists

    def __post_init__(self) -> None:
        """Cache the id, which never changes and is read by each draw."""
        self.id = self.endpoint.endpoint_id

    @property
    def is_serving(self) -> bool:
        """Whether discovery lists the endpoint as serving."""
        return self.endpoint.status is EndpointStatus.SERVING


@dataclass(slots=True, eq=False)
class AttemptState:
    """The state of one attempt of a request; times are in seconds."""

    endpoint: EndpointState
    sent_at: float
    expected_response_time: float  # response time in seconds, as estimated at the start
    in_flight: bool = True
    proven_not_executed: bool = False  # its outcome proves that the endpoint did not execute it
    is_late: bool = False
    time_to_first_byte: float | None = None  # seconds; None until its response has started
    is_streaming: bool = False  # its response is being streamed to the client

    @property
    def has_response_started(self) -> bool:
        """Whether the endpoint has begun to send a successful response."""
        return self.time_to_first_byte is not None

    @property
    def awaits_response(self) -> bool:
        """Whether the attempt is in flight and its response has not started."""
        return self.in_flight and not self.has_response_started


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request without a final response or with attempts in flight; times are in seconds."""

    request: RequestReceived
    request_class: RequestClass
    limiter: TokenBucketLimiter[PendingRequest]
    received_at: float
    first_sent_at: float  # estimated time of the client's first send
    queue_deadline: float  # end of the longest wait in the limiter's queue
    attempts: list[AttemptState] = field(default_factory=list)
    in_flight: int = 0  # attempts
    answered: bool = False  # it has its final response
    streaming: bool = False  # a response has started and is being streamed to the client
    units_settled: bool = False  # the units that a response reported have been charged
    over_quota: bool = False  # it was forwarded beyond the quota, without a charge
    not_resendable: bool = False  # its body is not buffered, or its client has half-closed
    never_sent: bool = True  # no attempt has left the gateway
    covered_locally: bool = False  # this gateway's part of the quota covered it on arrival
    admitted_unsampled: bool = False  # it was not sampled and is forwarded without a reading of the counter
    reported_units: float = 0.0  # units reported to the counter for it; below 0 if it was not sampled
    first_possibly_executed: AttemptState | None = None  # first attempt that may have been executed

    # Values derived from the request, cached because each attempt reads them several times.
    id: int = field(init=False)
    units: float = field(init=False)  # units of quota that it is estimated to use
    plan: Plan = field(init=False)
    latency_objective: float = field(init=False)  # seconds within which its response has its full value
    # Request class and plan, by which endpoints reject requests.
    rejection_key: tuple[str, str] = field(init=False)
    # Request class and units, rounded up: clients choose the fractions, and each would need its own entry.
    response_time_key: tuple[str, float] = field(init=False)

    def __post_init__(self) -> None:
        """Cache values that never change."""
        self.id = self.request.request_id
        self.units = self.request.units
        self.plan = self.limiter.plan
        self.latency_objective = self.request_class.latency_objective
        self.rejection_key = (self.request_class.name, self.plan.name)
        self.response_time_key = (self.request_class.name, float(math.ceil(self.units)))

    @property
    def has_idempotency_key(self) -> bool:
        """Whether endpoints deduplicate the request by its idempotency key."""
        return self.request_class.idempotency is Idempotency.IDEMPOTENCY_KEY

    @property
    def is_charged(self) -> bool:
        """Whether the request's units are charged to a quota."""
        return self.limiter.plan.rate > 0 and not self.over_quota

    def attempt_in_flight(self, index: int) -> AttemptState | None:
        """Return the attempt with this index, or None if it is not in flight."""
        if not 0 <= index < len(self.attempts) or not self.attempts[index].in_flight:
            return None
        return self.attempts[index]

    def deduplication_group(self, endpoint: EndpointState) -> str | int:
        """Return the key of the endpoints that share idempotency keys with this one."""
        scope = self.request_class.idempotency_scope
        if scope is IdempotencyScope.ALL:
            return ""
        return endpoint.endpoint.zone if scope is IdempotencyScope.ZONE else endpoint.endpoint.cell


Limiter = TokenBucketLimiter[PendingRequest]
