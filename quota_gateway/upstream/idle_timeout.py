"""The idle timeout of pooled connections, adapted to when endpoints close theirs.

A connection that the endpoint has closed unnoticed costs the request that is sent on it: whether that was
executed is unknown, so it can't be retried freely. Connections are therefore closed here first.
"""

from __future__ import annotations

IDLE_TIMEOUT_FRACTION = 0.5  # of the endpoints' keep-alive timeout: well before they close
MIN_IDLE_TIMEOUT = 0.05  # seconds; pooling must stay of use however many stale connections are seen
DECREASE_FACTOR = 0.7  # on a stale connection, of the timeout or of its idle time if that was shorter
INCREASE_FACTOR = 1.01  # on a live connection, which allows a little more
STALE_DETECTION_WINDOW = 0.02  # seconds after a send; a reset that comes later has another cause


class AdaptiveIdleTimeout:
    """The seconds that a connection may be idle: cut after a stale connection, raised after live ones."""

    def __init__(self, keepalive_timeout: float) -> None:
        """Start from the endpoints' keep-alive timeout in seconds."""
        self.maximum = keepalive_timeout * IDLE_TIMEOUT_FRACTION
        self.seconds = self.maximum

    def record_reset(self, idle_time: float, time_since_send: float) -> None:
        """Take note of a connection that broke without a response; times in seconds.

        It was stale if it had been idle, and broke as soon as the next request was sent on it.
        """
        if not idle_time or time_since_send >= STALE_DETECTION_WINDOW:
            return
        self.seconds = max(min(self.seconds, idle_time) * DECREASE_FACTOR, MIN_IDLE_TIMEOUT)

    def record_live(self, idle_time: float) -> None:
        """Take note of a connection that worked after `idle_time` seconds; a short time proves nothing."""
        if idle_time > self.seconds / 2:
            self.seconds = min(self.seconds * INCREASE_FACTOR, self.maximum)
