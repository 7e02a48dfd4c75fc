"""What the mechanisms of one engine share; it holds no decision."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from quota_gateway.model.actions import Action, SetTimer
from quota_gateway.model.settings import Plan, RequestClass, Settings
from quota_gateway.model.timers import Timer


@dataclass(slots=True, eq=False)
class EngineContext:
    """Settings, random numbers, the time of the event at hand in seconds, and the actions that it brings."""

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
        """Add an action, behind those that the event has brought so far."""
        self.actions.append(action)

    def set_timer(self, delay: float, timer: Timer) -> None:
        """Have `timer` fire in so many seconds."""
        self.actions.append(SetTimer(delay, timer))
