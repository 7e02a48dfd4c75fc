"""Records of requests, attempts and endpoints, which the mechanisms share; they hold no decision."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from quota_gateway.model.endpoints import Endpoint, EndpointStatus
from quota_gateway.model.events import RequestReceived
from quota_gateway.model.settings import Idempotency, IdempotencyScope, Plan, RequestClass
from quota_gateway.policy.token_bucket import TokenBucketLimiter


@dataclass(slots=True, eq=False)
class EndpointState:
    """What this gateway knows of one endpoint."""

    endpoint: Endpoint
    concurrency_limit: float  # attempts that this gateway may have in flight there
    decayed_at: float  # when `failure_score` was last decayed
    minimum_limit: float = 1.0  # below which `concurrency_limit` does not fall
    in_flight: int = 0
    late_in_flight: int = 0  # of these, attempts that are late already
    failure_score: float = 0.0  # doubles and grows by one with each failure, halves with time and success
    last_used_at: float = 0.0
    # by request class and plan: until when the endpoint is taken to reject these
    rejecting_until: dict[tuple[str, str], float] = field(default_factory=dict)

    @property
    def id(self) -> str:
        """The endpoint's id in the list."""
        return self.endpoint.endpoint_id

    @property
    def is_serving(self) -> bool:
        """Whether the list says that it serves."""
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
    is_streaming: bool = False  # its response is being passed on

    @property
    def awaits_response(self) -> bool:
        """Whether nothing of its response has come yet."""
        return self.in_flight and not self.is_streaming


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that this gateway owes an answer, or that still has attempts in flight."""

    request: RequestReceived
    request_class: RequestClass
    limiter: TokenBucketLimiter[PendingRequest]
    received_at: float
    first_sent_at: float  # when its client sent it for the first time, as far as this can be told
    queue_deadline: float  # until when it may wait in the limiter's queue
    attempts: list[AttemptState] = field(default_factory=list)
    in_flight: int = 0
    answered: bool = False
    streaming: bool = False  # a response is being passed on
    units_settled: bool = False  # the units that it really took were charged
    over_quota: bool = False  # it is forwarded beyond the quota, uncharged
    not_resendable: bool = False  # its body is not kept, or its client has gone
    never_sent: bool = True  # no attempt left the gateway
    covered_locally: bool = False  # the gateway's own part of the quota covered it
    admitted_unsampled: bool = False  # it is forwarded without a reading of the counter
    reported_units: float = 0.0  # units reported to the counter for it; below 0: it stays unreported
    first_possibly_executed: AttemptState | None = None  # the first attempt not proven not executed

    @property
    def id(self) -> int:
        """The request's number."""
        return self.request.request_id

    @property
    def units(self) -> float:
        """Units of quota that it is estimated to take."""
        return self.request.units

    @property
    def plan(self) -> Plan:
        """The customer's plan."""
        return self.limiter.plan

    @property
    def latency_objective(self) -> float:
        """Seconds within which its answer has its full value."""
        return self.request_class.latency_objective

    @property
    def kind(self) -> tuple[str, str]:
        """Its request class and plan, by which endpoints reject."""
        return self.request_class.name, self.limiter.plan.name

    @property
    def has_idempotency_key(self) -> bool:
        """Whether backends drop a repeat of it by its key."""
        return self.request_class.idempotency is Idempotency.IDEMPOTENCY_KEY

    @property
    def is_charged(self) -> bool:
        """Whether its units count against a quota."""
        return self.limiter.plan.rate > 0 and not self.over_quota

    @property
    def duration_key(self) -> tuple[str, float]:
        """Its class and whole units: a fraction is the client's word, and each would need an entry."""
        return self.request_class.name, float(math.ceil(self.request.units))

    def attempt_in_flight(self, index: int) -> AttemptState | None:
        """Return its attempt of this number, if that is in flight."""
        if not 0 <= index < len(self.attempts) or not self.attempts[index].in_flight:
            return None
        return self.attempts[index]

    def deduplication_group(self, endpoint: EndpointState) -> str | int:
        """Return which group of backends drops a repeat together with this one."""
        scope = self.request_class.idempotency_scope
        if scope is IdempotencyScope.ALL:
            return ""
        return endpoint.endpoint.zone if scope is IdempotencyScope.ZONE else endpoint.endpoint.cell


Limiter = TokenBucketLimiter[PendingRequest]
