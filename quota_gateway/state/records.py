"""Records of requests, attempts and endpoints, which the mechanisms share; they make no decision."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from quota_gateway.model.endpoints import Endpoint, EndpointStatus
from quota_gateway.model.events import RequestReceived
from quota_gateway.model.settings import Idempotency, IdempotencyScope, Plan, RequestClass
from quota_gateway.policy.token_bucket import TokenBucketLimiter


@dataclass(slots=True, eq=False)
class EndpointState:
    """The state of one endpoint at this gateway; times are seconds."""

    endpoint: Endpoint
    concurrency_limit: float  # attempts that this gateway may have in flight there
    decayed_at: float  # when `failure_score` was last decayed
    minimum_limit: float = 1.0  # below which `concurrency_limit` does not fall
    in_flight: int = 0
    late_in_flight: int = 0  # of these, attempts that are late already
    failure_score: float = 0.0  # doubles and grows by one with each failure, halves with time and success
    last_used_at: float = 0.0
    started_at: float | None = None  # from when its slow start counts, by this gateway's clock
    # by request class and plan: until when the endpoint is expected to reject these
    rejecting_until: dict[tuple[str, str], float] = field(default_factory=dict)
    id: str = field(init=False)  # the endpoint's id in the list

    def __post_init__(self) -> None:
        """Cache the id, which never changes: each draw reads it."""
        self.id = self.endpoint.endpoint_id

    @property
    def is_serving(self) -> bool:
        """Whether the endpoint list has it as serving."""
        return self.endpoint.status is EndpointStatus.SERVING


@dataclass(slots=True, eq=False)
class AttemptState:
    """One attempt of a request."""

    endpoint: EndpointState
    sent_at: float
    expected_duration: float  # seconds, as estimated when it was sent
    in_flight: bool = True
    proven_not_executed: bool = False
    is_late: bool = False
    is_streaming: bool = False  # its response is being streamed to the client

    @property
    def awaits_response(self) -> bool:
        """Whether it is in flight and its response has not started."""
        return self.in_flight and not self.is_streaming


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request without a final answer, or with attempts in flight; times are seconds."""

    request: RequestReceived
    request_class: RequestClass
    limiter: TokenBucketLimiter[PendingRequest]
    received_at: float
    first_sent_at: float  # when its client sent it for the first time, as estimated
    queue_deadline: float  # until when it may wait in the limiter's queue
    attempts: list[AttemptState] = field(default_factory=list)
    in_flight: int = 0
    answered: bool = False
    streaming: bool = False  # a response is being streamed to the client
    units_settled: bool = False  # its actual units were charged
    over_quota: bool = False  # it is forwarded beyond the quota, uncharged
    not_resendable: bool = False  # its body is not buffered, or its client half-closed
    never_sent: bool = True  # no attempt left the gateway
    covered_locally: bool = False  # the gateway's own part of the quota covered it
    admitted_unsampled: bool = False  # it is forwarded without a reading of the counter
    reported_units: float = 0.0  # units reported to the counter for it; below 0: not sampled, never reported
    first_possibly_executed: AttemptState | None = None  # the first attempt not proven not executed

    # cached from the above, since each attempt reads them several times
    id: int = field(init=False)
    units: float = field(init=False)  # units of quota that it is estimated to take
    plan: Plan = field(init=False)
    latency_objective: float = field(init=False)  # seconds within which its answer has its full value
    kind: tuple[str, str] = field(init=False)  # its request class and plan, by which endpoints reject
    # its class and units, rounded up: fractions are the client's choice, each would need an entry
    duration_key: tuple[str, float] = field(init=False)

    def __post_init__(self) -> None:
        """Cache what never changes."""
        self.id = self.request.request_id
        self.units = self.request.units
        self.plan = self.limiter.plan
        self.latency_objective = self.request_class.latency_objective
        self.kind = (self.request_class.name, self.plan.name)
        self.duration_key = (self.request_class.name, float(math.ceil(self.units)))

    @property
    def has_idempotency_key(self) -> bool:
        """Whether endpoints deduplicate it by its idempotency key."""
        return self.request_class.idempotency is Idempotency.IDEMPOTENCY_KEY

    @property
    def is_charged(self) -> bool:
        """Whether its units count against a quota."""
        return self.limiter.plan.rate > 0 and not self.over_quota

    def attempt_in_flight(self, index: int) -> AttemptState | None:
        """Return the attempt with this index if it is in flight, else None."""
        if not 0 <= index < len(self.attempts) or not self.attempts[index].in_flight:
            return None
        return self.attempts[index]

    def deduplication_group(self, endpoint: EndpointState) -> str | int:
        """Return the group of endpoints that deduplicates repeats together with this one."""
        scope = self.request_class.idempotency_scope
        if scope is IdempotencyScope.ALL:
            return ""
        return endpoint.endpoint.zone if scope is IdempotencyScope.ZONE else endpoint.endpoint.cell


Limiter = TokenBucketLimiter[PendingRequest]
