"""The context that the mechanisms of one engine share; it makes no decision."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from quota_gateway.model.actions import Action, SetTimer
from quota_gateway.model.settings import Plan, RequestClass, Settings
from quota_gateway.model.timers import Timer


@dataclass(slots=True, eq=False)
class EngineContext:
    """Settings, random numbers, and the current event's time in seconds and resulting actions."""

    settings: Settings
    random: Random
    started_at: float
    now: float
    actions: list[Action] = field(default_factory=list)
    # Seconds from `now` to the time by which quotas are counted: not 0 after a hot restart for which the wall
    # clock was stepped.
    quota_time_offset: float = 0.0
    plans: dict[str, Plan] = field(init=False)
    request_classes: dict[str, RequestClass] = field(init=False)

    def __post_init__(self) -> None:
        """Index the settings by name."""
        self.plans = {plan.name: plan for plan in self.settings.plans}
        self.request_classes = {each.name: each for each in self.settings.request_classes}

    @property
    def quota_time(self) -> float:
        """The time in seconds that the names of counts are made of: all gateways should agree on it."""
        return self.now + self.quota_time_offset

    def emit(self, action: Action) -> None:
        """Append an action to those of the current event."""
        self.actions.append(action)

    def set_timer(self, delay: float, timer: Timer) -> None:
        """Set `timer` to fire after `delay` seconds."""
        self.actions.append(SetTimer(delay, timer))
