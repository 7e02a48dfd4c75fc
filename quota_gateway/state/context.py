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
    plans: dict[str, Plan] = field(init=False)
    request_classes: dict[str, RequestClass] = field(init=False)

    def __post_init__(self) -> None:
        """Index the settings by name."""
        self.plans = {plan.name: plan for plan in self.settings.plans}
        self.request_classes = {each.name: each for each in self.settings.request_classes}

    def emit(self, action: Action) -> None:
        """Append an action to those of the current event."""
        self.actions.append(action)

    def set_timer(self, delay: float, timer: Timer) -> None:
        """Set `timer` to fire after `delay` seconds."""
        self.actions.append(SetTimer(delay, timer))
