"""The context that all mechanisms of a policy engine share."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from quota_gateway.model.actions import Action, SetTimer
from quota_gateway.model.settings import Plan, RequestClass, Settings
from quota_gateway.model.timers import Timer


@dataclass(slots=True, eq=False)
class EngineContext:
    """The settings, a random number generator, and the time and actions of the current event.

    Times are in seconds.
    """

    settings: Settings
    random: Random
    started_at: float
    now: float  # time of the current event
    actions: list[Action] = field(default_factory=list)  # results of the current event, in order
    # Seconds to add to `now` for the time by which quotas are counted: not 0 after a hot restart before which
    # the wall clock was stepped.
    quota_time_offset: float = 0.0
    plans: dict[str, Plan] = field(init=False)  # by name
    request_classes: dict[str, RequestClass] = field(init=False)  # by name

    def __post_init__(self) -> None:
        """Index the plans and request classes by name."""
        self.plans = {plan.name: plan for plan in self.settings.plans}
        self.request_classes = {each.name: each for each in self.settings.request_classes}

    @property
    def quota_time(self) -> float:
        """The time in seconds from which counter names are built; all gateways should agree on it."""
        return self.now + self.quota_time_offset

    def emit(self, action: Action) -> None:
        """Append an action to the result of the current event."""
        self.actions.append(action)

    def set_timer(self, delay: float, timer: Timer) -> None:
        """Emit an action that makes `timer` fire after `delay` seconds."""
        self.actions.append(SetTimer(delay, timer))
