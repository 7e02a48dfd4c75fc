"""Reads the settings object that both programs are given: the adapter by wire, the gateway in its file."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from quota_gateway.model.endpoints import EndpointStatus
from quota_gateway.model.settings import Idempotency, IdempotencyScope, Plan, RequestClass, Settings

REPEATS = {
    "repeatable": Idempotency.IDEMPOTENT,
    "by_key": Idempotency.IDEMPOTENCY_KEY,
    "once": Idempotency.NON_IDEMPOTENT,
}
SCOPES = {"all": IdempotencyScope.ALL, "zone": IdempotencyScope.ZONE, "cell": IdempotencyScope.CELL}
STATUSES = {
    "SERVING": EndpointStatus.SERVING,
    "DRAINING": EndpointStatus.DRAINING,
    "DELETED": EndpointStatus.REMOVED,
}


def take(source: dict[str, Any], key: str) -> Any:
    if not isinstance(source, dict) or key not in source:
        raise ValueError(f"settings: missing key {key}")
    return source[key]


def read_settings(env: dict[str, Any]) -> Settings:
    """The settings of an instance from its first message; ValueError names a key that is missing or wrong."""
    limits, rules, domain = take(env, "limits"), take(env, "rules"), take(env, "domain")

    def number(source: dict[str, Any], key: str) -> float:
        value = take(source, key)
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise ValueError(f"settings: {key} is not a number")
        return float(value)

    def seconds(source: dict[str, Any], key: str) -> float:
        return number(source, key) / 1000.0

    def named(table: dict[str, Any], source: dict[str, Any], key: str) -> Any:
        value = take(source, key)
        if value not in table:
            raise ValueError(f"settings: {key} has an unknown value {value!r}")
        return table[value]

    classes = tuple(
        RequestClass(
            name=take(c, "name"),
            idempotency=named(REPEATS, c, "semantics"),
            idempotency_scope=named(SCOPES, c, "dedup_scope"),
            idempotency_window=seconds(c, "memory_span"),
            latency_objective=seconds(c, "aim"),
            deadline=seconds(c, "deadline"),
            late_value_ratio=number(c, "late_share"),
            priority_weight=number(c, "credit"),
            streams_response=bool(take(c, "stream")),
        )
        for c in take(env, "services")
    )
    plans = tuple(
        Plan(
            name=take(p, "name"),
            rate=number(p, "units_per_s"),
            burst=number(p, "peak_units"),
            concurrency=int(number(p, "concurrency")),
            hard_limit_rate=number(p, "hard_rate"),
            hard_limit_burst=number(p, "cap_depth"),
            priority_factor=number(p, "value_factor"),
            over_quota_value=number(p, "extra_worth"),
            over_quota_cost=number(p, "overrun_cost"),
        )
        for p in take(env, "packages")
    )
    return Settings(
        gateway_index=int(number(env, "me")),
        gateway_count=int(number(env, "balancers")),
        request_classes=classes,
        plans=plans,
        zone=take(env, "zone"),
        endpoint_list_pushed=take(env, "membership_mode") == "pushed",
        poll_interval=seconds(rules, "ask_every"),
        counter_enabled=bool(take(domain, "counter")),
        counter_timeout=seconds(domain, "count_limit"),
        counter_call_cost=number(domain, "count_fee"),
        cancellation_allowed=bool(take(limits, "cancel")),
        health_checks_allowed=bool(take(limits, "may_probe")),
        hedging_allowed=bool(take(limits, "second_copies")),
        max_attempts=int(number(limits, "max_attempts")),
        retry_after_allowed=bool(take(limits, "retry_after")),
        max_retry_after=seconds(limits, "max_retry_after"),
        slow_start_minimum=number(rules, "cold_from"),
        slow_start_window=seconds(rules, "warm_within"),
        slow_start_overload_ratio=number(rules, "fall_multiple"),
        overload_duration=seconds(rules, "overload_for"),
        load_report_fields=tuple(take(take(env, "report"), "fields")),
        max_request_units=number(domain, "max_units"),
        settles_actual_units=bool(take(domain, "post_paid")),
    )


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """What the settings say of connections and lists: the sockets need it, the decisions don't."""

    connect_timeout: float
    keepalive_timeout: float
    drain_timeout: float  # after a backend's end is told


def read_connection_limits(env: dict[str, Any]) -> ConnectionLimits:
    limits = take(env, "limits")
    connect_with_retry, keep = float(take(limits, "dial_timeout")), float(take(limits, "keepalive"))
    stop = float(take(take(env, "rules"), "stop_sending_within"))
    if connect_with_retry <= 0 or keep <= 0 or stop <= 0:
        raise ValueError("settings: dial_timeout, keepalive and stop_sending_within must be above nought")
    return ConnectionLimits(connect_with_retry / 1000.0, keep / 1000.0, stop / 1000.0)
