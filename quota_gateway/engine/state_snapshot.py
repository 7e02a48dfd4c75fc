"""Saves an engine's state as plain values for the next process, and restores the previous process's state.

Different versions of the program read this format: its keys and the order of list items stay the same when
attributes are renamed.
"""

from __future__ import annotations

from typing import Any, Protocol

from quota_gateway.model.events import StateSnapshot
from quota_gateway.policy.admission import AdmissionController
from quota_gateway.policy.endpoint_registry import EndpointRegistry
from quota_gateway.policy.fine_grained_quota import FineGrainedQuota
from quota_gateway.policy.latency_estimates import LatencyEstimates
from quota_gateway.policy.quota_sync import CounterHealth
from quota_gateway.policy.retries import RetryBudget
from quota_gateway.policy.start_times import ObservedStart
from quota_gateway.state.context import EngineContext
from quota_gateway.state.limiter_registry import LimiterRegistry
from quota_gateway.state.records import Limiter
from quota_gateway.state.saved_state import (
    SavedEndpoint,
    SavedLimiter,
    SavedStart,
    SavedState,
    latest_time,
)

UNKNOWN_SAVE_TIME = 0.0  # seconds; stands for the save time, which older versions do not save
# Smallest difference in seconds between two processes' clocks that counts as a step of the wall clock. A
# smaller difference is the duration of the state transfer.
MIN_CLOCK_STEP = 1.0


class StatefulEngine(Protocol):
    """The parts of a policy engine whose state is saved and restored."""

    context: EngineContext
    limiter_registry: LimiterRegistry
    endpoint_registry: EndpointRegistry
    latency_estimates: LatencyEstimates
    admission: AdmissionController
    retry_budget: RetryBudget
    counter_health: CounterHealth
    fine_grained: FineGrainedQuota
    draining: bool


def save_state(engine: StatefulEngine, now: float) -> StateSnapshot:
    """Return the state at `now` as plain values, to be sent to the next process."""
    limiters = [list(_saved_limiter(limiter)) for limiter in engine.limiter_registry.limiters.values()]
    return StateSnapshot(
        {
            "born": engine.context.started_at,
            "throttles": limiters,
            "servers": _endpoint_rows(engine.endpoint_registry),
            "banned": sorted(engine.endpoint_registry.under_maintenance),
            "returned": engine.endpoint_registry.maintenance_ended_at,
            "kinds": engine.latency_estimates.relative_response_times,
            "patience": engine.latency_estimates.average_client_timeouts,
            "usual": [[*key, value] for key, value in engine.latency_estimates.response_times.items()],
            "granted": [[*key, value] for key, value in engine.fine_grained.grant_ratios.items()],
            "fleet_fails": engine.admission.fleet_failure_rate,
            "retry_credit": engine.retry_budget.balance,
            "passed": engine.admission.admit_ratio,
            "limit": engine.admission.concurrency_limit,
            "quiet_until": engine.counter_health.backoff_until,
            "count_fails": engine.counter_health.consecutive_failures,
            "shortest": engine.counter_health.fastest_reply_time,
            "counted_part": engine.counter_health.sampling_ratio,
            "draining": engine.draining,
            # older versions do not save the values below
            "now": now,
            "quota_time": now + engine.context.quota_time_offset,
            "starts": _start_rows(engine.endpoint_registry),
        }
    )


def _endpoint_rows(registry: EndpointRegistry) -> list[list[object]]:
    return [
        [
            state.id,
            registry.start_identifier(state),
            state.concurrency_limit,
            state.failure_score,
            state.decayed_at,
        ]
        for state in registry.endpoints.values()
    ]


def _start_rows(registry: EndpointRegistry) -> list[list[object]]:
    return [
        [key, start.listed_at, start.effective_at]
        for key, start in registry.start_times.starts.items()
        if key in registry.endpoints
    ]


def _saved_limiter(limiter: Limiter) -> SavedLimiter:
    return SavedLimiter(
        limiter.customer,
        limiter.plan.name,
        limiter.quota_spread,
        limiter.queued_units,
        limiter.quota_fraction,
        limiter.rate,
        limiter.capacity,
        limiter.balance,
        limiter.refilled_at,
        limiter.local_demand,
        limiter.fleet_demand,
        limiter.reading_valid_until,
        limiter.reading_reusable_until,
        limiter.hard_limit_balance,
    )


def load_state(state: dict[str, Any]) -> SavedState:
    """Parse another process's saved state; raises KeyError, TypeError or ValueError if it is malformed."""
    saved = SavedState(
        saved_at=state.get("now", UNKNOWN_SAVE_TIME),
        quota_time=state.get("quota_time"),
        starts=[SavedStart(*row) for row in state.get("starts", ())],
        started_at=state["born"],
        limiters=[SavedLimiter(*row) for row in state["throttles"]],
        endpoints=[SavedEndpoint(*row) for row in state["servers"]],
        under_maintenance=state["banned"],
        maintenance_ended_at=state["returned"],
        relative_response_times=state["kinds"],
        average_client_timeouts=state["patience"],
        response_times={(request_class, units): value for request_class, units, value in state["usual"]},
        grant_ratios={tuple(key): value for *key, value in state["granted"]},
        fleet_failure_rate=state["fleet_fails"],
        retry_budget_balance=state["retry_credit"],
        admit_ratio=state["passed"],
        concurrency_limit=state["limit"],
        counter_backoff_until=state["quiet_until"],
        counter_consecutive_failures=state["count_fails"],
        counter_fastest_reply_time=state["shortest"],
        counter_sampling_ratio=state["counted_part"],
        draining=state["draining"],
    )
    return saved._replace(saved_at=latest_time(saved)) if saved.saved_at == UNKNOWN_SAVE_TIME else saved


def restore_state(engine: StatefulEngine, saved: SavedState) -> None:
    """Merge the saved state into that of this process, except for `draining`, which is left to the caller.

    The state was saved just now, so its times are converted by the difference between the two clocks.
    """
    clock_difference = engine.context.now - saved.saved_at
    if saved.quota_time is not None:
        _restore_quota_time(engine.context, saved.quota_time, saved.saved_at)
    saved = saved.shifted_by(clock_difference)
    engine.context.started_at = min(engine.context.started_at, saved.started_at)
    _restore_estimates(engine, saved)
    engine.endpoint_registry.under_maintenance.update(saved.under_maintenance)
    for start in saved.starts:
        observed_start = ObservedStart(start.listed_at, start.effective_at)
        engine.endpoint_registry.start_times.merge(start.endpoint_id, observed_start)
    engine.endpoint_registry.merge_maintenance_ends(saved.maintenance_ended_at)
    for endpoint in saved.endpoints:
        engine.endpoint_registry.restore(endpoint)
    for limiter in saved.limiters:
        if limiter.plan in engine.context.plans:
            _restore_limiter(engine, limiter)
    engine.endpoint_registry.refresh_serving()


def _restore_quota_time(context: EngineContext, quota_time: float, saved_at: float) -> None:
    """Keep counting quotas by the other process's clock, to agree with the gateways not restarted."""
    was_stepped = abs(context.now - saved_at) >= MIN_CLOCK_STEP
    context.quota_time_offset = quota_time - (context.now if was_stepped else saved_at)


def _restore_estimates(engine: StatefulEngine, saved: SavedState) -> None:
    engine.admission.fleet_failure_rate = saved.fleet_failure_rate
    engine.admission.admit_ratio = saved.admit_ratio
    engine.admission.concurrency_limit = saved.concurrency_limit
    engine.retry_budget.balance = saved.retry_budget_balance
    engine.counter_health.backoff_until = saved.counter_backoff_until
    engine.counter_health.consecutive_failures = saved.counter_consecutive_failures
    engine.counter_health.fastest_reply_time = saved.counter_fastest_reply_time
    engine.counter_health.sampling_ratio = saved.counter_sampling_ratio
    engine.latency_estimates.relative_response_times.update(saved.relative_response_times)
    engine.latency_estimates.average_client_timeouts.update(saved.average_client_timeouts)
    engine.latency_estimates.response_times.update(saved.response_times)
    grant_ratios = engine.fine_grained.grant_ratios
    for key, ratio in grant_ratios.items():
        grant_ratios[key] = saved.grant_ratios.get(key, ratio)


def _restore_limiter(engine: StatefulEngine, saved: SavedLimiter) -> None:
    existing = engine.limiter_registry.limiters.get(saved.customer)
    balance = saved.balance + saved.queued_units
    if existing is not None:
        existing.merge_balance(balance, engine.context.now)
        return
    plan = engine.context.plans[saved.plan]
    limiter = engine.limiter_registry.get_or_create(saved.customer, saved.quota_spread, plan)
    limiter.quota_fraction = saved.quota_fraction
    limiter.rate = saved.rate
    limiter.capacity = saved.capacity
    limiter.balance = balance
    limiter.refilled_at = saved.refilled_at
    limiter.local_demand = saved.local_demand
    limiter.fleet_demand = saved.fleet_demand
    limiter.reading_valid_until = saved.reading_valid_until
    limiter.reading_reusable_until = saved.reading_reusable_until
    limiter.hard_limit_balance = saved.hard_limit_balance
    limiter.refill(engine.context.now)
