"""The other process of this gateway during a hot restart, with which it shares each quota."""

from __future__ import annotations

from dataclasses import dataclass

from quota_gateway.model.charges import UnitsCharged
from quota_gateway.state.context import EngineContext
from quota_gateway.state.records import Limiter


@dataclass(slots=True, eq=False)
class PeerProcess:
    """Reports units charged here to the other process, and charges here those that it reports."""

    context: EngineContext
    present: bool = False

    def report(self, limiter: Limiter, units: float) -> None:
        """Report units that are charged here, or refunded if below 0."""
        if self.present and limiter.plan.rate > 0 and units:
            self.context.emit(UnitsCharged(limiter.customer, limiter.plan.name, limiter.quota_spread, units))

    def charge(self, limiter: Limiter, units: float) -> None:
        """Charge units that the other process reported."""
        limiter.refill(self.context.now)
        limiter.give_back(-units)
