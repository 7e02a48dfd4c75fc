"""Typed settings of a gateway. All times are in seconds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """Which retries a request class allows after an attempt that may have been executed."""

    IDEMPOTENT = "safe"  # retries at any endpoint
    IDEMPOTENCY_KEY = "by key"  # retries at endpoints that recognize the key, within the idempotency window
    NON_IDEMPOTENT = "once"  # no retries


class IdempotencyScope(Enum):
    """Which endpoints recognize the idempotency key of a request that one of them has executed."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests: its retry rules, its time limits and the value of its responses."""

    name: str
    idempotency: Idempotency
    idempotency_scope: IdempotencyScope
    idempotency_window: float  # how long endpoints remember an idempotency key
    latency_objective: float  # a response that takes longer is late
    deadline: float  # a response that takes longer is useless to the client
    late_value_ratio: float  # value of a late response relative to one in time
    priority_weight: float  # value of a response in time
    streams_response: bool


@dataclass(frozen=True, slots=True)
class Plan:
    """A customer plan: quota and priority; rates and bursts apply to the whole fleet of gateways."""

    name: str
    rate: float  # units per second
    burst: float  # units
    concurrency: int  # maximum number of requests in flight; 0 for no limit
    hard_limit_rate: float  # units per second that are never exceeded; 0 for no hard limit
    hard_limit_burst: float  # units
    priority_factor: float  # value of the plan's responses relative to other plans
    over_quota_value: float  # value of a response over the quota relative to one within it
    over_quota_cost: float  # cost of a request over the quota, on the same scale


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one gateway, except for the connection limits."""

    # Fleet of gateways
    gateway_index: int  # index of this gateway, counted from 0
    gateway_count: int
    request_classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    zone: str  # zone of this gateway

    # Discovery
    push_discovery_enabled: bool  # discovery pushes lists to a local agent; otherwise the gateway polls
    poll_interval: float

    # Counter service
    counter_enabled: bool
    counter_timeout: float
    counter_call_cost: float

    # Attempts and responses
    cancellation_allowed: bool
    health_checks_allowed: bool
    hedging_allowed: bool
    max_attempts: int  # maximum attempts per request
    retry_after_allowed: bool
    max_retry_after: float

    # Endpoints that are warming up or overloaded
    slow_start_minimum: float  # fraction of its full capacity that an endpoint has when it starts
    slow_start_window: float  # time after which an endpoint has its full capacity
    slow_start_overload_ratio: float  # ratio of load to capacity above which a warming-up endpoint fails
    overload_duration: float

    # Quota units
    load_report_fields: tuple[str, ...]  # names of the values in a load report
    max_request_units: float
    charges_billed_units: bool  # charge the units that the response bills, not those requested
