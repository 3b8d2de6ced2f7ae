"""Bound repeated tries as a share of first tries."""


class RetryBudget:
    """Hold the repeated tries that one service has earned.

    Over any time, withdrawals stay below ``budget_share`` times the first
    tries, plus ``budget_per_s`` times the time, plus ``budget_burst``.
    """

    def __init__(self, *, policy, now_s):
        self._policy = policy
        self._burst = policy.budget_burst
        self._tokens = policy.budget_burst
        self._refilled_s = now_s

    @property
    def filled_share(self):
        """Return how full the budget is, from 0.0 to 1.0."""
        return self._tokens / self._burst

    @property
    def covers_one(self):
        """Return whether a repeated try is left."""
        return self._tokens >= 1

    @property
    def share_after_withdrawal(self):
        """Return how full the budget is once a further try is taken."""
        return max(self._tokens - 1, 0.0) / self._burst

    def limit_burst(self, burst):
        """Lower the most that may be saved up, as more entries share it."""
        self._burst = min(self._burst, burst)
        self._tokens = min(self._tokens, self._burst)

    def deposit(self):
        """Count a first try."""
        self._add(self._policy.budget_share)

    def withdraw(self, *, now_s):
        """Take one repeated try; return whether it was covered."""
        passed_s = max(now_s - self._refilled_s, 0.0)
        self._refilled_s = max(now_s, self._refilled_s)
        self._add(self._policy.budget_per_s * passed_s)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _add(self, tokens):
        self._tokens = min(self._tokens + tokens, self._burst)
