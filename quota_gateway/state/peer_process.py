"""The other process of this gateway during a hot restart: a quota is spent once by both."""

from __future__ import annotations

from dataclasses import dataclass

from quota_gateway.model.charges import UnitsCharged
from quota_gateway.state.context import EngineContext
from quota_gateway.state.records import Limiter


@dataclass(slots=True, eq=False)
class PeerProcess:
    """Tells the other process of units that are charged here, and charges its units here."""

    context: EngineContext
    present: bool = False

    def report(self, limiter: Limiter, units: float) -> None:
        """Tell it of units that are forwarded here, or given back if below 0."""
        if self.present and limiter.plan.rate > 0 and units:
            self.context.emit(UnitsCharged(limiter.customer, limiter.plan.name, limiter.quota_spread, units))

    def charge(self, limiter: Limiter, units: float) -> None:
        """Charge units that it forwarded."""
        limiter.refill(self.context.now)
        limiter.give_back(-units)
