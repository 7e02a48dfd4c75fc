"""Timeouts and backoff of the polls of the endpoint list, within the bound on its propagation delay."""

from __future__ import annotations

import random
from dataclasses import dataclass

MAX_PROPAGATION_DELAY = 6.0  # seconds from a change, with discovery reachable, until gateways must know it

# A list that discovery serves on demand: each poll uses some of its limited capacity.
POLLED_WATCH_TIMEOUT = 2.0  # seconds; a watch that broke silently is noticed only after it
POLLED_ANSWER_TIMEOUT = 1.0  # seconds past the watch timeout, connecting included
MAX_TIMEOUT_FACTOR = 2  # after timeouts: a poll that is abandoned loses its place in discovery's queue
BACKOFF_PER_GATEWAY = 0.05  # seconds; all gateways may have failed at once, and share discovery's capacity
MAX_FIRST_BACKOFF = 0.75  # seconds; the first failure may be a watch that broke, with a change to fetch

# A list that is pushed to a local agent: polls are cheap, and changes count as known at once.
PUSHED_WATCH_TIMEOUT = 1.0  # seconds; a watch that broke silently is noticed only after it
PUSHED_ANSWER_TIMEOUT_RATIO = 0.375  # of the drain timeout: two polls have to fit into it
PUSHED_MAX_BACKOFF_RATIO = 0.125  # of the drain timeout: what the two polls leave of it, but for a margin

MIN_JITTER = 0.5  # smallest part of a backoff that is waited; the remainder is random, to spread retries


@dataclass(frozen=True, slots=True)
class PollSchedule:
    """Timeouts and backoff of one gateway's polls; times in seconds."""

    watch_timeout: float  # how long discovery may hold a watch until it answers that nothing changed
    answer_timeout: float  # for connecting and the answer, on top of the watch timeout
    max_timeout_factor: int  # limit of the answer timeout's growth after polls that timed out
    first_backoff: float  # before the retry that follows a first failure
    max_backoff: float  # after many failures, and with any Retry-After

    @property
    def propagation_bound(self) -> float:
        """Return the longest time in seconds until a change is known, once discovery answers in time.

        The poll in flight may be lost, and may have just started, as a watch or with the longest answer
        timeout. The longest backoff follows, and a poll that takes as long as it may.
        """
        longest_poll = self.max_timeout_factor * self.answer_timeout
        lost_poll = max(self.watch_timeout + self.answer_timeout, longest_poll)
        return lost_poll + self.max_backoff + longest_poll

    def answer_timeout_after(self, timeouts: int) -> float:
        """Return the answer timeout of the next poll after so many consecutive timeouts."""
        return self.answer_timeout * min(1 + timeouts, self.max_timeout_factor)

    def jittered_delay(self, backoff: float, retry_after: float) -> float:
        """Return the seconds until the next retry: random, and never above the maximum backoff.

        It is no shorter than `retry_after`, unless jitter would then take it above the maximum.
        """
        upper = min(max(backoff, retry_after / MIN_JITTER), self.max_backoff)
        return upper * random.uniform(MIN_JITTER, 1.0)


def poll_schedule_for(gateway_count: int, endpoint_list_pushed: bool, drain_timeout: float) -> PollSchedule:
    """Return the schedule of one gateway in a fleet of `gateway_count`.

    `drain_timeout` is the time in seconds within which gateways must stop sending to an endpoint, counted
    from when its removal must be known.
    """
    if endpoint_list_pushed:
        return _pushed_schedule(drain_timeout)
    return _polled_schedule(gateway_count)


def _pushed_schedule(drain_timeout: float) -> PollSchedule:
    """Return a schedule with which two polls, and the backoff between them, fit into the drain timeout."""
    available = min(drain_timeout, MAX_PROPAGATION_DELAY - PUSHED_WATCH_TIMEOUT)
    max_backoff = PUSHED_MAX_BACKOFF_RATIO * available
    return PollSchedule(
        watch_timeout=PUSHED_WATCH_TIMEOUT,
        answer_timeout=PUSHED_ANSWER_TIMEOUT_RATIO * available,
        max_timeout_factor=1,
        first_backoff=min(BACKOFF_PER_GATEWAY, max_backoff),
        max_backoff=max_backoff,
    )


def _polled_schedule(gateway_count: int) -> PollSchedule:
    """Return a schedule whose backoff spares discovery, as far as the propagation delay allows.

    Neither errors, silence nor Retry-After extend the propagation delay, so the maximum backoff is what a
    lost watch and one more poll leave of it.
    """
    longest_poll = MAX_TIMEOUT_FACTOR * POLLED_ANSWER_TIMEOUT
    lost_poll = max(POLLED_WATCH_TIMEOUT + POLLED_ANSWER_TIMEOUT, longest_poll)
    max_backoff = MAX_PROPAGATION_DELAY - lost_poll - longest_poll
    return PollSchedule(
        watch_timeout=POLLED_WATCH_TIMEOUT,
        answer_timeout=POLLED_ANSWER_TIMEOUT,
        max_timeout_factor=MAX_TIMEOUT_FACTOR,
        first_backoff=min(BACKOFF_PER_GATEWAY * gateway_count, MAX_FIRST_BACKOFF, max_backoff),
        max_backoff=max_backoff,
    )


DEFAULT_POLL_SCHEDULE = _polled_schedule(gateway_count=1)
