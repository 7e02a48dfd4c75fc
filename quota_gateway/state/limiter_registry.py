"""The rate limiters of the customers whose requests this gateway receives."""

from __future__ import annotations

import sys
from collections import deque
from dataclasses import dataclass, field

from quota_gateway.model.settings import Plan
from quota_gateway.policy.token_bucket import TokenBucketLimiter, is_too_small_to_split
from quota_gateway.state.context import EngineContext
from quota_gateway.state.limiter_state import QUOTA_PERIOD
from quota_gateway.state.records import Limiter

EVICTION_CHECKS = 2  # limiters checked for each new one: idle limiters are evicted without a full scan
# Limiters checked for each new one at the limit; if none of them is idle, one that is not in use is evicted.
FULL_EVICTION_CHECKS = 8


@dataclass(slots=True, eq=False)
class LimiterRegistry:
    """Creates a customer's limiter on its first request, and evicts idle limiters."""

    context: EngineContext
    max_limiters: int = sys.maxsize
    limiters: dict[str, Limiter] = field(default_factory=dict)  # by customer
    eviction_queue: deque[str] = field(default_factory=deque)  # customers, the next to be checked first

    def get_or_create(self, customer: str, quota_spread: int, plan: Plan) -> Limiter:
        """Return the customer's limiter, created if needed.

        `quota_spread` is the number of gateways that share the quota; 0 means all gateways.
        """
        limiter = self.limiters.get(customer)
        return limiter if limiter is not None else self._create(customer, quota_spread, plan)

    def _create(self, customer: str, quota_spread: int, plan: Plan) -> Limiter:
        self._make_room()
        context = self.context
        spread = max(1, quota_spread or context.settings.gateway_count)
        limiter: Limiter = TokenBucketLimiter(customer, plan, spread, context.now, context.started_at)
        if context.settings.counter_enabled:
            max_units = context.settings.max_request_units
            limiter.is_fine_grained = is_too_small_to_split(plan, spread, max_units)
        self.limiters[customer] = limiter
        self.eviction_queue.append(customer)
        return limiter

    def _make_room(self) -> None:
        """Evict idle limiters, and at the limit the one checked first that has nothing pending."""
        checks = EVICTION_CHECKS if len(self.limiters) < self.max_limiters else FULL_EVICTION_CHECKS
        for _ in range(min(checks, len(self.eviction_queue))):
            customer = self.eviction_queue.popleft()
            limiter = self.limiters[customer]
            is_full = len(self.limiters) >= self.max_limiters
            if self._is_unused(limiter) or (is_full and not limiter.has_pending_work()):
                del self.limiters[customer]
            else:
                self.eviction_queue.append(customer)

    def _is_unused(self, limiter: Limiter) -> bool:
        now = self.context.now
        period = self.context.quota_time // QUOTA_PERIOD
        has_no_demand = limiter.reading_valid_until < now and limiter.demand_period < period
        return has_no_demand and limiter.is_idle(now)
