"""Limit repeated tries to a share of the first tries."""


class RetryBudget:
    """Provide a token bucket for the repeated tries of one service.

    Over any period, withdrawals do not exceed ``budget_share`` times the
    number of first tries, plus ``budget_per_s`` times the length of the
    period in seconds, plus ``budget_burst``.
    """

    def __init__(self, *, policy, now_s):
        self._policy = policy
        self._capacity = policy.budget_burst
        self._tokens = policy.budget_burst
        self._last_refill_s = now_s

    @property
    def filled_share(self):
        """Return the filled share of the bucket, from 0.0 to 1.0."""
        return self._tokens / self._capacity

    @property
    def has_token(self):
        """Return whether the budget has a token for a repeated try."""
        return self._tokens >= 1

    @property
    def share_after_withdrawal(self):
        """Return the filled share after one more withdrawal, 0.0 to 1.0."""
        return max(self._tokens - 1, 0.0) / self._capacity

    def lower_capacity(self, burst):
        """Lower the capacity; used when more entries share the limit."""
        self._capacity = min(self._capacity, burst)
        self._tokens = min(self._tokens, self._capacity)

    def deposit(self):
        """Add the tokens that a first try earns."""
        self._add(self._policy.budget_share)

    def withdraw(self, *, now_s):
        """Take one token; return False if there is none."""
        elapsed_s = max(now_s - self._last_refill_s, 0.0)
        self._last_refill_s = max(now_s, self._last_refill_s)
        self._add(self._policy.budget_per_s * elapsed_s)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _add(self, tokens):
        self._tokens = min(self._tokens + tokens, self._capacity)
