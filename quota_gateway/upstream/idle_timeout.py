"""An idle timeout for pooled connections that adapts to when endpoints close idle connections.

If a request is sent on a connection that the endpoint has already closed, it is unknown whether the request
was executed, so it can't be retried freely. The pool therefore closes idle connections before the endpoint.
"""

from __future__ import annotations

# Longest idle timeout, as a fraction of the endpoints' keep-alive timeout: well before they close.
IDLE_TIMEOUT_FRACTION = 0.5
# Shortest idle timeout in seconds: pooling must remain useful however many stale connections are seen.
MIN_IDLE_TIMEOUT = 0.05
# Factor applied on a stale connection to the timeout, or to the connection's idle time if that was shorter.
DECREASE_FACTOR = 0.7
# Factor applied to the timeout when a connection works after a long idle time.
INCREASE_FACTOR = 1.01
# Seconds after a send during which a reset means a stale connection; a later reset has another cause.
STALE_DETECTION_WINDOW = 0.02


class AdaptiveIdleTimeout:
    """The idle timeout in seconds, decreased after a stale connection and increased after live ones."""

    def __init__(self, keepalive_timeout: float) -> None:
        """Initialize from the endpoints' keep-alive timeout in seconds."""
        self.maximum = keepalive_timeout * IDLE_TIMEOUT_FRACTION
        self.current = self.maximum

    def record_reset(self, idle_time: float, time_since_send: float) -> None:
        """Record that a connection broke without a response. Times are in seconds.

        It was stale if it had been idle and broke as soon as the next request was sent on it.
        """
        if not idle_time or time_since_send >= STALE_DETECTION_WINDOW:
            return
        self.current = max(min(self.current, idle_time) * DECREASE_FACTOR, MIN_IDLE_TIMEOUT)

    def record_reuse(self, idle_time: float) -> None:
        """Record that a connection worked after `idle_time` seconds; a short time proves nothing."""
        if idle_time > self.current / 2:
            self.current = min(self.current * INCREASE_FACTOR, self.maximum)
