"""The state that one process of a gateway saves for the next in a hot restart; times are seconds."""

from __future__ import annotations

from typing import NamedTuple


class SavedLimiter(NamedTuple):
    """A customer's limiter; queued requests stay with their process and are charged when forwarded."""

    customer: str
    plan: str
    quota_spread: int
    queued_units: float
    quota_fraction: float
    rate: float
    capacity: float
    balance: float
    updated_at: float
    local_demand: float
    fleet_demand: float
    reading_valid_until: float
    reading_fresh_until: float
    hard_limit_balance: float


class SavedEndpoint(NamedTuple):
    """What was learned of an endpoint since its start."""

    endpoint_id: str
    started_at: float | None
    concurrency_limit: float
    failure_score: float
    decayed_at: float


class SavedState(NamedTuple):
    """The whole saved state."""

    started_at: float
    limiters: list[SavedLimiter]
    endpoints: list[SavedEndpoint]
    under_maintenance: list[str]
    returned_at: dict[str, float]
    machine_type_factors: dict[str, float]
    client_timeouts: dict[str, float]
    durations: dict[tuple[str, float], float]
    grant_ratios: dict[tuple[object, ...], float]  # an older version may have saved shorter keys
    fleet_failure_rate: float
    retry_budget: float
    admit_ratio: float
    concurrency_limit: float
    counter_paused_until: float
    counter_failures: int
    fastest_reply: float
    sampling_ratio: float
    draining: bool
