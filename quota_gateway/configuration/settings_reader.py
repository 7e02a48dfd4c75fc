"""Reads the settings object, which comes from the configuration file or from the simulator."""

from __future__ import annotations

from typing import Any

from quota_gateway.configuration.settings_object import SettingsObject
from quota_gateway.model.endpoints import EndpointStatus
from quota_gateway.model.settings import Idempotency, IdempotencyScope, Plan, RequestClass, Settings

IDEMPOTENCIES = {
    "repeatable": Idempotency.IDEMPOTENT,
    "by_key": Idempotency.IDEMPOTENCY_KEY,
    "once": Idempotency.NON_IDEMPOTENT,
}
IDEMPOTENCY_SCOPES = {
    "all": IdempotencyScope.ALL,
    "zone": IdempotencyScope.ZONE,
    "cell": IdempotencyScope.CELL,
}
ENDPOINT_STATUSES = {
    "SERVING": EndpointStatus.SERVING,
    "DRAINING": EndpointStatus.DRAINING,
    "DELETED": EndpointStatus.REMOVED,
}
# Value of `membership_mode` if a local agent pushes endpoint lists; otherwise the gateway polls discovery
PUSHED_MEMBERSHIP = "pushed"


def read_settings(values: dict[str, Any]) -> Settings:
    """Return the typed settings; raise SettingsError if a key is missing or has an invalid value."""
    settings = SettingsObject(values)
    limits = settings.section("limits")
    rules = settings.section("rules")
    domain = settings.section("domain")
    return Settings(
        request_classes=tuple(read_request_class(source) for source in settings.sections("services")),
        plans=tuple(read_plan(source) for source in settings.sections("packages")),
        gateway_index=settings.integer("me"),
        gateway_count=settings.integer("balancers"),
        zone=settings.required("zone"),
        push_discovery_enabled=settings.required("membership_mode") == PUSHED_MEMBERSHIP,
        poll_interval=rules.seconds("ask_every"),
        counter_enabled=domain.boolean("counter"),
        counter_timeout=domain.seconds("count_limit"),
        counter_call_cost=domain.number("count_fee"),
        cancellation_allowed=limits.boolean("cancel"),
        health_checks_allowed=limits.boolean("may_probe"),
        hedging_allowed=limits.boolean("second_copies"),
        max_attempts=limits.integer("max_attempts"),
        retry_after_allowed=limits.boolean("retry_after"),
        max_retry_after=limits.seconds("max_retry_after"),
        slow_start_minimum=rules.number("cold_from"),
        slow_start_window=rules.seconds("warm_within"),
        slow_start_overload_ratio=rules.number("fall_multiple"),
        overload_duration=rules.seconds("overload_for"),
        load_report_fields=tuple(settings.section("report").required("fields")),
        max_request_units=domain.number("max_units"),
        charges_billed_units=domain.boolean("post_paid"),
    )


def read_request_class(source: SettingsObject) -> RequestClass:
    """Return a request class from an entry of `services`."""
    return RequestClass(
        name=source.required("name"),
        idempotency=source.choice("semantics", IDEMPOTENCIES),
        idempotency_scope=source.choice("dedup_scope", IDEMPOTENCY_SCOPES),
        idempotency_window=source.seconds("memory_span"),
        latency_objective=source.seconds("aim"),
        deadline=source.seconds("deadline"),
        late_value_ratio=source.number("late_share"),
        priority_weight=source.number("credit"),
        streams_response=source.boolean("stream"),
    )


def read_plan(source: SettingsObject) -> Plan:
    """Return a plan from an entry of `packages`."""
    return Plan(
        name=source.required("name"),
        rate=source.number("units_per_s"),
        burst=source.number("peak_units"),
        concurrency=source.integer("concurrency"),
        hard_limit_rate=source.number("hard_rate"),
        hard_limit_burst=source.number("cap_depth"),
        priority_factor=source.number("value_factor"),
        over_quota_value=source.number("extra_worth"),
        over_quota_cost=source.number("overrun_cost"),
    )
