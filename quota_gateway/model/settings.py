"""Settings of a gateway, as the decisions use them. All times are in seconds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """Which retries a request class allows once an attempt may have been executed."""

    IDEMPOTENT = "safe"  # any
    IDEMPOTENCY_KEY = "by key"  # at endpoints that recognise the key, as long as they remember it
    NON_IDEMPOTENT = "once"  # none


class IdempotencyScope(Enum):
    """Which endpoints recognise the idempotency key of a request that one of them has executed."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests, with what it needs and what its responses are worth."""

    name: str
    idempotency: Idempotency
    idempotency_scope: IdempotencyScope
    idempotency_window: float  # for which endpoints remember an idempotency key
    latency_objective: float  # a response after it is late
    deadline: float  # after which a response is of no use
    late_value_ratio: float  # value of a late response, relative to one in time
    priority_weight: float  # value of a response in time
    streams_response: bool


@dataclass(frozen=True, slots=True)
class Plan:
    """What a customer has paid for; rates and bursts hold over all gateways together."""

    name: str
    rate: float  # units a second
    burst: float  # units
    concurrency: int  # requests in flight; 0 for no limit
    hard_limit_rate: float  # units a second that are never exceeded; 0 for no hard limit
    hard_limit_burst: float  # units
    priority_factor: float  # value of the plan's responses, relative to those of other plans
    over_quota_value: float  # value of a response beyond the quota, relative to one within it
    over_quota_cost: float  # what a request beyond the quota costs, on the same scale


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of one gateway."""

    # the fleet
    gateway_index: int  # of this gateway, from 0
    gateway_count: int
    request_classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    zone: str  # of this gateway

    # discovery
    endpoint_list_pushed: bool  # to a local agent; else the gateway polls
    poll_interval: float

    # the counter service
    counter_enabled: bool
    counter_timeout: float
    counter_call_cost: float

    # attempts and responses
    cancellation_allowed: bool
    health_checks_allowed: bool
    hedging_allowed: bool
    max_attempts: int  # of one request
    retry_after_allowed: bool
    max_retry_after: float

    # endpoints that warm up, or are overloaded
    slow_start_minimum: float  # fraction of its capacity that an endpoint has at its start
    slow_start_window: float  # after which it has all of it
    slow_start_overload_ratio: float  # of load to capacity; beyond it an endpoint that warms up fails
    overload_duration: float

    # units
    load_report_fields: tuple[str, ...]  # names of the numbers in a load report
    max_request_units: float
    settles_actual_units: bool  # quotas count the units that a response reports, not those of the request
