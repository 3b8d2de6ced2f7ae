"""Keep the repeated tries of all entries within one limit."""

import collections

from savoryyoke.retries import budgets
from savoryyoke.retries import conf as retries_conf
from savoryyoke.retries import hedging

from savoryyoke_gateway import conf


class RetryAllowances:
    """Own this entry's share of the retry limit of each service.

    Entries spend their shares without asking each other. The share of the
    slack shrinks with the number of entries ever seen at once, so it stays
    right for entries that are merely not heard. Second tries beside slow
    ones spend only what tries that have failed leave over.
    """

    def __init__(self, *, ratio, slack, clock):
        self._ratio = ratio
        self._slack = slack
        self._clock = clock
        self._entries = conf.EXPECTED_ENTRIES
        self._budgets_by_service = {}
        self._hedges_by_service = collections.defaultdict(
            hedging.HedgeAllowance
        )

    def set_entries(self, entries):
        """Divide the slack among at least ``entries`` entries."""
        if entries <= self._entries:
            return
        self._entries = entries
        for budget in self._budgets_by_service.values():
            budget.lower_capacity(self._burst())

    def note_request(self, service_name):
        """Count a request that goes to its first target."""
        self._find(service_name).deposit()
        self._hedges_by_service[service_name].deposit()

    def take(self, service_name):
        """Take one repeated try; return whether there was one left."""
        return self._find(service_name).withdraw(now_s=self._clock())

    def covers_one(self, service_name):
        """Return whether a repeated try is left."""
        return self._find(service_name).has_token

    def covers_hedge(self, service_name, *, is_lost):
        """Return whether a second try is left.

        ``is_lost`` tells a request that is taken for lost from a slow one:
        it may draw on all that failed tries leave over.
        """
        left_share = self._find(service_name).share_after_withdrawal
        if left_share < retries_conf.FAILED_TRY_RESERVE_SHARE:
            return False
        return is_lost or self._hedges_by_service[service_name].has_token

    def take_hedge(self, service_name, *, is_lost):
        """Take one second try; return whether there was one left."""
        if not self.covers_hedge(service_name, is_lost=is_lost):
            return False
        self._hedges_by_service[service_name].withdraw()
        return self.take(service_name)

    def level(self, service_name):
        """Return how full the service's share of the limit is, 0.0 to 1.0."""
        return self._find(service_name).filled_share

    def _find(self, service_name):
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
        return self._slack * conf.RETRY_SHARE / self._entries
