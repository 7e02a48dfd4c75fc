"""Lookups in the policy engine's actions and state, shared by its tests."""

from __future__ import annotations

from collections.abc import Iterable

from quota_gateway.engine.policy_engine import PolicyEngine
from quota_gateway.model.actions import Action, SetTimer, StartAttempt
from quota_gateway.model.timers import Timer
from quota_gateway.state.records import Limiter


def started_attempts(actions: Iterable[Action]) -> list[StartAttempt]:
    return [action for action in actions if isinstance(action, StartAttempt)]


def first_attempt(actions: Iterable[Action]) -> StartAttempt:
    """Return the first attempt that is started, and fail the test if there is none."""
    attempts = started_attempts(actions)
    assert attempts, "no attempt was started"
    return attempts[0]


def first_timer(actions: Iterable[Action], timer_type: type[Timer]) -> SetTimer:
    """Return the first action that sets a timer of this type, and fail the test if there is none."""
    set_timers = [action for action in actions if isinstance(action, SetTimer)]
    matching = [action for action in set_timers if isinstance(action.timer, timer_type)]
    assert matching, f"no {timer_type.__name__} was set"
    return matching[0]


def limiter_of(engine: PolicyEngine, customer: str = "c") -> Limiter:
    return engine.limiter_registry.limiters[customer]
