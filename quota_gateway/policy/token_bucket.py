"""A customer's rate limiter: a token bucket with a bounded first-in first-out queue.

The bucket's tokens and the queued units are one number, the balance: the paper's token bank above zero and
its job buffer below, clamped at the bucket's capacity. A request is charged when it comes, and leaves in
order once the balance without those behind it covers it.
"""

from quota_gateway.model.settings import Plan
from quota_gateway.state.limiter_state import LimiterState, Queued

EPSILON = 1e-9  # tolerance of float comparisons


def is_too_small_to_split(plan: Plan, quota_spread: int, max_units: float) -> bool:
    """Return whether a gateway's part of the burst may be smaller than a request of `max_units`."""
    return quota_spread > 1 and 0 < plan.burst < max_units * quota_spread and plan.rate > 0


class TokenBucketLimiter(LimiterState[Queued]):
    """One customer's limiter at this gateway."""

    def refill(self, now: float) -> None:
        """Add the tokens since the last refill, up to the capacity that queued requests leave."""
        elapsed = max(now - self.updated_at, 0.0)
        earned = self.balance + self.rate * elapsed
        self.balance = max(self.balance, min(earned, self.capacity - self.queued_units))
        hard_limit = self.hard_limit_balance + self.hard_limit_rate * elapsed
        self.hard_limit_balance = min(self.hard_limit_capacity, hard_limit)
        self.updated_at = now

    def set_quota_fraction(self, fraction: float, now: float) -> None:
        """Change this gateway's fraction of the quota from now on."""
        self.refill(now)
        self.quota_fraction = fraction
        self.rate = self.plan.rate * fraction
        self.capacity = self.plan.burst * fraction
        self.balance = min(self.balance, self.capacity - self.queued_units)

    def give_back(self, units: float) -> None:
        """Refund units that were charged and not used."""
        self.balance = min(self.balance + units, self.capacity - self.queued_units)

    def wait_time(self, units: float) -> float:
        """Return the seconds until the head of the queue, or a request to an empty one, may leave."""
        wait = 0.0
        missing = min(units, self.capacity) - (self.balance + self.queued_units)
        if self.plan.rate > 0 and missing > EPSILON:
            wait = missing / self.rate
        if self.plan.hard_limit_rate > 0 and units - self.hard_limit_balance > EPSILON:
            wait = max(wait, (units - self.hard_limit_balance) / self.hard_limit_rate)
        return wait

    def queueing_time(self, units: float) -> float:
        """Return the seconds that a request would wait behind those that are queued."""
        wait = self.wait_time(0.0 if self.queue else units)
        if self.plan.rate > 0:
            wait = max(wait, (min(units, self.capacity) - self.balance) / self.rate)
        return wait

    def has_free_slot(self) -> bool:
        """Return whether the plan's limit on concurrent attempts allows one more here."""
        limit = self.plan.concurrency
        return limit <= 0 or self.in_flight < max(1, limit // self.quota_spread)

    def is_half_full(self) -> bool:
        """Return whether at least half of the capacity is left, not counting queued requests."""
        return self.balance + self.queued_units >= self.capacity / 2

    def is_idle(self, now: float) -> bool:
        """Return whether a new limiter would be in the same state."""
        self.refill(now)
        full = self.plan.rate <= 0 or self.balance >= self.capacity - EPSILON
        full = full and self.hard_limit_balance >= self.hard_limit_capacity - EPSILON
        waiting = self.report_scheduled or self.counter_calls or self.awaiting_reading
        return full and not (self.queue or self.in_flight or waiting)

    def merge_balance(self, other: float, now: float) -> None:
        """Merge another process's balance, less what was spent here; the lower of the two is used."""
        self.refill(now)
        spent = max(self.capacity - self.balance, 0.0)
        self.balance = min(self.balance, other - spent)
