"""The rate limiters of the customers whose requests this gateway receives."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from quota_gateway.model.settings import Plan
from quota_gateway.policy.token_bucket import TokenBucketLimiter, is_too_small_to_split
from quota_gateway.state.context import EngineContext
from quota_gateway.state.limiter_state import QUOTA_PERIOD
from quota_gateway.state.records import Limiter

EVICTION_CHECKS = 2  # limiters checked for each new one: idle limiters are evicted without a full scan


@dataclass(slots=True, eq=False)
class LimiterRegistry:
    """Creates a customer's limiter on its first request, and evicts idle limiters."""

    context: EngineContext
    limiters: dict[str, Limiter] = field(default_factory=dict)  # by customer
    eviction_queue: deque[str] = field(default_factory=deque)  # customers, the next to be checked first

    def get_or_create(self, customer: str, quota_spread: int, plan: Plan) -> Limiter:
        """Return the customer's limiter, created if needed.

        `quota_spread` is the number of gateways that share the quota; 0 means all gateways.
        """
        limiter = self.limiters.get(customer)
        return limiter if limiter is not None else self._create(customer, quota_spread, plan)

    def _create(self, customer: str, quota_spread: int, plan: Plan) -> Limiter:
        for _ in range(min(EVICTION_CHECKS, len(self.eviction_queue))):
            self._evict_or_keep(self.eviction_queue.popleft())
        context = self.context
        spread = max(1, quota_spread or context.settings.gateway_count)
        limiter: Limiter = TokenBucketLimiter(customer, plan, spread, context.now, context.started_at)
        if context.settings.counter_enabled:
            max_units = context.settings.max_request_units
            limiter.is_fine_grained = is_too_small_to_split(plan, spread, max_units)
        self.limiters[customer] = limiter
        self.eviction_queue.append(customer)
        return limiter

    def _evict_or_keep(self, customer: str) -> None:
        limiter = self.limiters[customer]
        now = self.context.now
        period = self.context.quota_time // QUOTA_PERIOD
        is_unused = limiter.reading_valid_until < now and limiter.demand_period < period
        if is_unused and limiter.is_idle(now):
            del self.limiters[customer]
        else:
            self.eviction_queue.append(customer)
