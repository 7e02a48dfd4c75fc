"""Timeouts and backoff of endpoint list polls, within the limit of the list's propagation delay."""

from __future__ import annotations

import random
from dataclasses import dataclass

# Seconds within which gateways must know of a change to the list while discovery is reachable.
MAX_PROPAGATION_DELAY = 6.0

# Discovery serves the list on request, and each poll uses some of its limited capacity.
POLLED_WATCH_TIMEOUT = 2.0  # seconds; a connection lost without notice is detected only after this time
POLLED_RESPONSE_TIMEOUT = 1.0  # seconds for connecting and the response, on top of the watch timeout
# Limit of the response timeout's growth: a poll that is abandoned loses its place in discovery's queue.
MAX_TIMEOUT_FACTOR = 2
# Seconds of first backoff per gateway of the fleet: all may fail at once, and share discovery's capacity.
BACKOFF_PER_GATEWAY = 0.05
MAX_FIRST_BACKOFF = 0.75  # seconds; the first failure may be a broken watch that missed a change

# The list is pushed to a local agent: polls are cheap, and changes count as known at once.
PUSHED_WATCH_TIMEOUT = 1.0  # seconds; a connection lost without notice is detected only after this time
PUSHED_RESPONSE_TIMEOUT_RATIO = 0.375  # fraction of the drain timeout, into which two polls have to fit
PUSHED_MAX_BACKOFF_RATIO = 0.125  # fraction of the drain timeout; with the two polls it leaves a margin

# Smallest fraction of a backoff that is waited; the rest is random, to spread retries
MIN_BACKOFF_FRACTION = 0.5


@dataclass(frozen=True, slots=True)
class PollSchedule:
    """Timeouts and backoff of one gateway's polls; times in seconds."""

    watch_timeout: float  # how long discovery may hold a watch before it answers that nothing changed
    response_timeout: float  # for connecting and the response, on top of the watch timeout
    max_timeout_factor: int  # limit of the response timeout's growth after consecutive timeouts
    first_backoff: float  # backoff after the first failure of a series
    max_backoff: float  # limit of the backoff, whatever Retry-After says

    @property
    def propagation_bound(self) -> float:
        """Return the longest time in seconds until a change is known, once discovery responds in time.

        The poll in flight may have just started, as a watch or with the longest response timeout, and may
        get no response. The longest backoff follows it, and then a poll that takes as long as it may.
        """
        longest_poll = self.max_timeout_factor * self.response_timeout
        lost_poll = max(self.watch_timeout + self.response_timeout, longest_poll)
        return lost_poll + self.max_backoff + longest_poll

    def response_timeout_after(self, consecutive_timeouts: int) -> float:
        """Return the next poll's response timeout in seconds, which grows with consecutive timeouts."""
        return self.response_timeout * min(1 + consecutive_timeouts, self.max_timeout_factor)

    def jittered_delay(self, backoff: float, retry_after: float) -> float:
        """Return a random delay in seconds before the next retry, at most the maximum backoff.

        It is at least `retry_after`, unless the maximum backoff leaves no room for jitter above that.
        """
        longest_delay = min(max(backoff, retry_after / MIN_BACKOFF_FRACTION), self.max_backoff)
        return longest_delay * random.uniform(MIN_BACKOFF_FRACTION, 1.0)


def poll_schedule_for(gateway_count: int, push_discovery_enabled: bool, drain_timeout: float) -> PollSchedule:
    """Return the schedule of one gateway in a fleet of `gateway_count`.

    `drain_timeout` is the time in seconds within which gateways must stop sending to a removed endpoint,
    counted from when its removal must be known.
    """
    if push_discovery_enabled:
        return _pushed_schedule(drain_timeout)
    return _polled_schedule(gateway_count)


def _pushed_schedule(drain_timeout: float) -> PollSchedule:
    """Return a schedule that fits two polls and the backoff between them into the drain timeout."""
    available = min(drain_timeout, MAX_PROPAGATION_DELAY - PUSHED_WATCH_TIMEOUT)
    max_backoff = PUSHED_MAX_BACKOFF_RATIO * available
    return PollSchedule(
        watch_timeout=PUSHED_WATCH_TIMEOUT,
        response_timeout=PUSHED_RESPONSE_TIMEOUT_RATIO * available,
        max_timeout_factor=1,
        first_backoff=min(BACKOFF_PER_GATEWAY, max_backoff),
        max_backoff=max_backoff,
    )


def _polled_schedule(gateway_count: int) -> PollSchedule:
    """Return a schedule that backs off from discovery as far as the propagation delay allows.

    Neither errors, missing responses nor Retry-After extend the propagation delay, so the maximum backoff is
    what remains of it after a lost watch and one more poll.
    """
    longest_poll = MAX_TIMEOUT_FACTOR * POLLED_RESPONSE_TIMEOUT
    lost_poll = max(POLLED_WATCH_TIMEOUT + POLLED_RESPONSE_TIMEOUT, longest_poll)
    max_backoff = MAX_PROPAGATION_DELAY - lost_poll - longest_poll
    return PollSchedule(
        watch_timeout=POLLED_WATCH_TIMEOUT,
        response_timeout=POLLED_RESPONSE_TIMEOUT,
        max_timeout_factor=MAX_TIMEOUT_FACTOR,
        first_backoff=min(BACKOFF_PER_GATEWAY * gateway_count, MAX_FIRST_BACKOFF, max_backoff),
        max_backoff=max_backoff,
    )


DEFAULT_POLL_SCHEDULE = _polled_schedule(gateway_count=1)
