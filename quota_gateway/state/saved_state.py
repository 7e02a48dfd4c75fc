"""The state that one process of a gateway saves for the next in a hot restart.

Times are in seconds, by the clock of the older process. The clock of the newer one may be ahead or behind:
each is set from the wall clock when its process starts, and the wall clock may have been stepped in between.
"""

from __future__ import annotations

from typing import NamedTuple


class SavedLimiter(NamedTuple):
    """A customer's limiter.

    Queued requests stay with their process, which reports their units once it forwards them.
    """

    customer: str
    plan: str
    quota_spread: int
    queued_units: float
    quota_fraction: float
    rate: float
    capacity: float
    balance: float
    refilled_at: float
    local_demand: float
    fleet_demand: float
    reading_valid_until: float
    reading_reusable_until: float
    hard_limit_balance: float


class SavedEndpoint(NamedTuple):
    """What the gateway has learned about an endpoint since its start."""

    endpoint_id: str
    started_at: float | None
    concurrency_limit: float
    failure_score: float
    decayed_at: float


class SavedStart(NamedTuple):
    """The start of an endpoint as listed, and the time from which it counts; None for a start long ago."""

    endpoint_id: str
    listed_at: float | None
    effective_at: float | None


class SavedState(NamedTuple):
    """The complete saved state."""

    saved_at: float
    quota_time: float | None  # time by which quotas are counted; None if an older version did not save it
    starts: list[SavedStart]
    started_at: float
    limiters: list[SavedLimiter]
    endpoints: list[SavedEndpoint]
    under_maintenance: list[str]
    maintenance_ended_at: dict[str, float]
    relative_response_times: dict[str, float]
    average_client_timeouts: dict[str, float]
    response_times: dict[tuple[str, float], float]
    grant_ratios: dict[tuple[object, ...], float]  # keys saved by an older version may be shorter
    fleet_failure_rate: float
    retry_budget_balance: float
    admit_ratio: float
    concurrency_limit: float
    counter_backoff_until: float
    counter_consecutive_failures: int
    counter_fastest_reply_time: float
    counter_sampling_ratio: float
    draining: bool

    def shifted_by(self, seconds: float) -> SavedState:
        """Return the state with its times shifted by `seconds`, to the clock of the restoring process."""
        maintenance_ended_at = {key: time + seconds for key, time in self.maintenance_ended_at.items()}
        return self._replace(
            saved_at=self.saved_at + seconds,
            starts=[_shifted_start(start, seconds) for start in self.starts],
            started_at=self.started_at + seconds,
            limiters=[_shifted_limiter(limiter, seconds) for limiter in self.limiters],
            endpoints=[self._shifted_endpoint(endpoint, seconds) for endpoint in self.endpoints],
            maintenance_ended_at=maintenance_ended_at,
            counter_backoff_until=self.counter_backoff_until + seconds,
        )

    def _shifted_endpoint(self, endpoint: SavedEndpoint, seconds: float) -> SavedEndpoint:
        """Shift an endpoint's times, except a listed start, which is not by this gateway's clock."""
        started_at = endpoint.started_at
        if started_at is not None and started_at == self.maintenance_ended_at.get(endpoint.endpoint_id):
            started_at += seconds
        return endpoint._replace(started_at=started_at, decayed_at=endpoint.decayed_at + seconds)


def _shifted_start(start: SavedStart, seconds: float) -> SavedStart:
    if start.effective_at is None:
        return start
    return start._replace(effective_at=start.effective_at + seconds)


def _shifted_limiter(limiter: SavedLimiter, seconds: float) -> SavedLimiter:
    return limiter._replace(
        refilled_at=limiter.refilled_at + seconds,
        reading_valid_until=limiter.reading_valid_until + seconds,
        reading_reusable_until=limiter.reading_reusable_until + seconds,
    )


def latest_time(state: SavedState) -> float:
    """Return the latest time of a past event in the state, for versions that do not save `saved_at`.

    All these events precede the save, so the result is a lower bound of its time.
    """
    times = [state.started_at, *state.maintenance_ended_at.values()]
    times += [limiter.refilled_at for limiter in state.limiters]
    times += [endpoint.decayed_at for endpoint in state.endpoints]
    return max(times)
