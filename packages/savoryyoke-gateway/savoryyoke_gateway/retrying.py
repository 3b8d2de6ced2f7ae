"""Limit the repeated tries of a service over all entries."""

import collections

from savoryyoke.retries import budgets
from savoryyoke.retries import conf as retries_conf
from savoryyoke.retries import hedging

from savoryyoke_gateway import conf


class RetryAllowances:
    """Own this entry's share of the retry limit of each service.

    ``ratio`` is the number of repeated tries per request, and ``slack`` the
    number of further ones, that all entries together may send in the time
    window of the limit.

    Entries spend their shares without coordination. An entry's share of the
    slack is divided by the largest number of entries seen at once, so that
    the limit also holds while some of them can't be reached. Concurrent
    second tries leave a part of the limit to retries after failures.
    """

    def __init__(self, *, ratio, slack, clock):
        self._ratio = ratio
        self._slack = slack
        self._clock = clock
        self._entry_count = conf.EXPECTED_ENTRY_COUNT
        self._budgets_by_service = {}
        self._hedges_by_service = collections.defaultdict(
            hedging.HedgeAllowance
        )

    def set_entry_count(self, entry_count):
        """Divide the slack among at least ``entry_count`` entries."""
        if entry_count <= self._entry_count:
            return
        self._entry_count = entry_count
        for budget in self._budgets_by_service.values():
            budget.lower_capacity(self._burst())

    def record_request(self, service_name):
        """Add the tokens for a request that is sent to its first target."""
        self._find_budget(service_name).deposit()
        self._hedges_by_service[service_name].deposit()

    def withdraw(self, service_name):
        """Withdraw the token of a repeated try, if there is one.

        Return whether there was one.
        """
        return self._find_budget(service_name).withdraw(now_s=self._clock())

    def has_token(self, service_name):
        """Return whether there is a token for a repeated try."""
        return self._find_budget(service_name).has_token

    def has_hedge_token(self, service_name, *, is_lost):
        """Return whether there is a token for a concurrent second try.

        Second tries of slow requests have a limit of their own.
        ``is_lost`` is true for a request whose first try is considered
        lost; that limit does not apply to it.
        """
        remaining_share = self._find_budget(
            service_name
        ).share_after_withdrawal
        if remaining_share < retries_conf.FAILED_TRY_RESERVE_SHARE:
            return False
        return is_lost or self._hedges_by_service[service_name].has_token

    def withdraw_hedge(self, service_name, *, is_lost):
        """Withdraw the token of a second try, if there is one.

        Return whether there was one. ``is_lost`` is explained at
        ``has_hedge_token``.
        """
        if not self.has_hedge_token(service_name, is_lost=is_lost):
            return False
        self._hedges_by_service[service_name].withdraw()
        return self.withdraw(service_name)

    def filled_share(self, service_name):
        """Return the unspent share of the service's limit, from 0.0 to 1.0."""
        return self._find_budget(service_name).filled_share

    def _find_budget(self, service_name):
        budget = self._budgets_by_service.get(service_name)
        if budget is None:
            policy = retries_conf.RetryPolicy(
                budget_share=self._ratio * conf.RETRY_SHARE,
                budget_per_s=0.0,
                budget_burst=self._burst(),
            )
            budget = budgets.RetryBudget(policy=policy, now_s=self._clock())
            self._budgets_by_service[service_name] = budget
        return budget

    def _burst(self):
        return self._slack * conf.RETRY_SHARE / self._entry_count
