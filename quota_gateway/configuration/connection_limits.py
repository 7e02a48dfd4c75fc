"""Connection and drain timeouts, the part of the settings that only the network code uses."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from quota_gateway.configuration.settings_object import MILLISECONDS_PER_SECOND, SettingsObject
from quota_gateway.errors import SettingsError


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Timeouts of the network code in seconds, all above 0."""

    connect_timeout: float
    keepalive_timeout: float
    drain_timeout: float  # time after a drain notice in which attempts may still be sent to the endpoint


def read_connection_limits(values: dict[str, Any]) -> ConnectionLimits:
    """Return the timeouts of a settings object; raise SettingsError if one is missing or not above 0."""
    settings = SettingsObject(values)
    limits = settings.section("limits")
    return ConnectionLimits(
        connect_timeout=_positive_seconds(limits, "dial_timeout"),
        keepalive_timeout=_positive_seconds(limits, "keepalive"),
        drain_timeout=_positive_seconds(settings.section("rules"), "stop_sending_within"),
    )


def _positive_seconds(source: SettingsObject, key: str) -> float:
    milliseconds = float(source.required(key))
    if milliseconds <= 0:
        raise SettingsError(key, "is not above 0")
    return milliseconds / MILLISECONDS_PER_SECOND
