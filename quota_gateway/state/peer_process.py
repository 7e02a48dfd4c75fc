"""The other process of this gateway during a hot restart, which shares each quota with this one."""

from __future__ import annotations

from dataclasses import dataclass

from quota_gateway.model.charges import UnitsCharged
from quota_gateway.state.context import EngineContext
from quota_gateway.state.records import Limiter


@dataclass(slots=True, eq=False)
class PeerProcess:
    """Reports charged units to the other process, and charges the units that it reports."""

    context: EngineContext
    connected: bool = False  # whether the other process is connected

    def report(self, limiter: Limiter, units: float) -> None:
        """Report units charged by this process; below 0, they are a refund."""
        if self.connected and limiter.plan.rate > 0 and units:
            self.context.emit(UnitsCharged(limiter.customer, limiter.plan.name, limiter.quota_spread, units))

    def charge(self, limiter: Limiter, units: float) -> None:
        """Charge units that the other process has reported."""
        limiter.refill(self.context.now)
        limiter.refund(-units)
