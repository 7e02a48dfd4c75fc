"""Settings of a gateway, as the decisions use them. All times are seconds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """What a class allows once an attempt may have run."""

    IDEMPOTENT = "safe"
    IDEMPOTENCY_KEY = "by key"
    NON_IDEMPOTENT = "once"


class IdempotencyScope(Enum):
    """Which backends drop a repeat of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class RequestClass:
    name: str
    idempotency: Idempotency
    idempotency_scope: IdempotencyScope
    idempotency_window: float
    latency_objective: float
    deadline: float
    late_value_ratio: float
    priority_weight: float
    streams_response: bool


@dataclass(frozen=True, slots=True)
class Plan:
    name: str
    rate: float
    burst: float
    concurrency: int
    hard_limit_rate: float
    hard_limit_burst: float
    priority_factor: float
    over_quota_value: float
    over_quota_cost: float


@dataclass(frozen=True, slots=True)
class Settings:
    gateway_index: int
    gateway_count: int
    request_classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    zone: str
    endpoint_list_pushed: bool
    poll_interval: float
    counter_enabled: bool
    counter_timeout: float
    counter_call_cost: float
    cancellation_allowed: bool
    health_checks_allowed: bool
    hedging_allowed: bool
    max_attempts: int
    retry_after_allowed: bool
    max_retry_after: float
    slow_start_minimum: float
    slow_start_window: float
    slow_start_overload_ratio: float
    overload_duration: float
    load_report_fields: tuple[str, ...]
    max_request_units: float
    settles_actual_units: bool
