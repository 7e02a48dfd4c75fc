"""Checks settings for values that make no sense."""

from __future__ import annotations

from quota_gateway.model.settings import Settings

# attributes that must not be negative, and the names by which settings files know them
SETTINGS_NAMES = {
    "slow_start_window": "warm_within",
    "overload_duration": "overload_for",
    "slow_start_overload_ratio": "fall_multiple",
    "slow_start_minimum": "cold_from",
    "max_retry_after": "max_retry_after",
    "poll_interval": "ask_every",
}
PLAN_NAMES = {
    "rate": "units_per_s",
    "burst": "peak_units",
    "hard_limit_rate": "hard_rate",
    "hard_limit_burst": "cap_depth",
    "concurrency": "concurrency",
}
REQUEST_CLASS_NAMES = {
    "latency_objective": "aim",
    "deadline": "deadline",
    "idempotency_window": "memory_span",
}


def validate_settings(settings: Settings) -> None:
    """Raise ValueError with the name of the first setting that makes no sense."""
    if settings.gateway_count < 1:
        raise ValueError("settings: balancers is below 1")
    if settings.max_attempts < 1:
        raise ValueError("settings: max_attempts is below 1")
    _require_not_negative(settings, "", SETTINGS_NAMES)
    for plan in settings.plans:
        _require_not_negative(plan, f" of plan {plan.name}", PLAN_NAMES)
    for request_class in settings.request_classes:
        _require_not_negative(request_class, f" of class {request_class.name}", REQUEST_CLASS_NAMES)


def _require_not_negative(source: object, owner: str, names: dict[str, str]) -> None:
    for attribute, name in names.items():
        if getattr(source, attribute) < 0:
            raise ValueError(f"settings: {name}{owner} is negative")
