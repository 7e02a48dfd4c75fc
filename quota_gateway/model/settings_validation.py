"""Validates the ranges of numeric settings."""

from __future__ import annotations

from quota_gateway.errors import SettingsError
from quota_gateway.model.settings import Settings

# Attributes that must not be negative, mapped to their keys in the settings object, for error messages
SETTINGS_KEYS = {
    "slow_start_window": "warm_within",
    "overload_duration": "overload_for",
    "slow_start_overload_ratio": "fall_multiple",
    "slow_start_minimum": "cold_from",
    "max_retry_after": "max_retry_after",
    "poll_interval": "ask_every",
}
PLAN_KEYS = {
    "rate": "units_per_s",
    "burst": "peak_units",
    "hard_limit_rate": "hard_rate",
    "hard_limit_burst": "cap_depth",
    "concurrency": "concurrency",
}
REQUEST_CLASS_KEYS = {
    "latency_objective": "aim",
    "deadline": "deadline",
    "idempotency_window": "memory_span",
}


def validate_settings(settings: Settings) -> None:
    """Raise SettingsError with the key of the first setting that is out of range."""
    if settings.gateway_count < 1:
        raise SettingsError("balancers", "is below 1")
    if settings.max_attempts < 1:
        raise SettingsError("max_attempts", "is below 1")
    _require_not_negative(settings, SETTINGS_KEYS, "is negative")
    for plan in settings.plans:
        _require_not_negative(plan, PLAN_KEYS, f"of plan {plan.name} is negative")
    for request_class in settings.request_classes:
        _require_not_negative(request_class, REQUEST_CLASS_KEYS, f"of class {request_class.name} is negative")


def _require_not_negative(source: object, keys: dict[str, str], problem: str) -> None:
    for attribute, key in keys.items():
        if getattr(source, attribute) < 0:
            raise SettingsError(key, problem)
