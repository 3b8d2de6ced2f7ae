"""Accrue an entry's part of a limit, with loans to and from others."""

import dataclasses
import math

from savoryyoke.limits import conf


@dataclasses.dataclass(frozen=True, kw_only=True)
class Loan:
    """Pass ``rate_per_s`` on until ``until_s`` by the holder's clock."""

    rate_per_s: float
    until_s: float


class Bucket:
    """Hold the tokens that one entry may spend of one limit.

    The bucket starts full and accrues from ``accrues_from_s`` on. What is
    lent stops accruing when it is granted; what is borrowed accrues until
    it expires, also if the process was frozen meanwhile.
    """

    def __init__(self, *, base_per_s, accrues_from_s):
        self.base_per_s = base_per_s
        self.demand_per_s = 0.0
        self._level = self.capacity
        self._settled_s = accrues_from_s
        self._lent_by_entry = {}
        self._borrowed_by_entry = {}

    @property
    def capacity(self):
        """Return the most that can be saved up."""
        return self.base_per_s * conf.BURST_S

    def change_base(self, *, base_per_s, now_s):
        """Take in a new part of the limit."""
        self.settle(now_s=now_s)
        self.base_per_s = base_per_s

    def settle(self, *, now_s):
        """Accrue up to now."""
        if now_s <= self._settled_s:
            return
        passed_s = now_s - self._settled_s
        gained = self.base_per_s * passed_s
        for loans in self._lent_by_entry.values():
            gained -= self._lent(loans, now_s)
        for loan in self._borrowed_by_entry.values():
            gained += loan.rate_per_s * self._overlap_s(loan, now_s)
        self._level = min(self._level + gained, self.capacity)
        self._settled_s = now_s
        self._forget_expired(now_s)

    def covers(self, amount):
        """Tell whether an amount may be spent now.

        An amount beyond the capacity needs a full bucket and leaves a
        debt, or it could never be spent.
        """
        return self._level >= min(amount, self.capacity)

    def spend(self, amount):
        """Take an amount; a negative one gives back."""
        self._level = min(self._level - amount, self.capacity)

    def wait_s(self, amount, *, now_s):
        """Return the time until the amount can be spent."""
        missing = min(amount, self.capacity) - self._level
        wait_s = max(missing, 0.0) / self.rate_per_s
        return wait_s + max(self._settled_s - now_s, 0.0)

    @property
    def rate_per_s(self):
        """Return the rate at which the bucket fills now."""
        rate = self.base_per_s - self.lent_per_s()
        rate += self.borrowed_per_s()
        # A part that is wholly lent comes back when the loan ends.
        return max(rate, conf.RESERVE_SHARE * self.base_per_s)

    def observe_demand(self, amount):
        """Count what a call asks for, admitted or not."""
        self.demand_per_s += amount / conf.DEMAND_SMOOTHING_S

    def decay_demand(self, *, passed_s):
        """Let the demand fade; called with each heartbeat."""
        self.demand_per_s *= math.exp(-passed_s / conf.DEMAND_SMOOTHING_S)

    def lent_per_s(self, *, except_to=None):
        """Return the rate that is lent out."""
        return sum(
            max((loan.rate_per_s for loan in loans), default=0.0)
            for entry_id, loans in self._lent_by_entry.items()
            if entry_id != except_to
        )

    def borrowed_per_s(self, *, except_from=None):
        """Return the rate that is borrowed."""
        return sum(
            loan.rate_per_s
            for entry_id, loan in self._borrowed_by_entry.items()
            if entry_id != except_from
        )

    def lend(self, *, entry_id, asked_per_s, now_s):
        """Grant another entry what can be spared; return the rate."""
        self.settle(now_s=now_s)
        needed = self.demand_per_s + conf.RESERVE_SHARE * self.base_per_s
        spare = self.base_per_s - needed - self.lent_per_s(except_to=entry_id)
        rate = max(min(asked_per_s, spare), 0.0)
        until_s = now_s + conf.LOAN_S * (1 + conf.CLOCK_DRIFT_SHARE)
        loans = self._lent_by_entry.setdefault(entry_id, [])
        loans.append(Loan(rate_per_s=rate, until_s=until_s))
        return rate

    def borrow(self, *, entry_id, loan, now_s):
        """Take over a granted rate in place of the lender's last one."""
        self.settle(now_s=now_s)
        if loan.until_s > now_s:
            self._borrowed_by_entry[entry_id] = loan

    def _lent(self, loans, now_s):
        # The borrower may still use an older loan if it missed a newer one.
        rate = max((loan.rate_per_s for loan in loans), default=0.0)
        return rate * max(
            (self._overlap_s(loan, now_s) for loan in loans), default=0.0
        )

    def _overlap_s(self, loan, now_s):
        return max(min(now_s, loan.until_s) - self._settled_s, 0.0)

    def _forget_expired(self, now_s):
        self._borrowed_by_entry = {
            entry_id: loan
            for entry_id, loan in self._borrowed_by_entry.items()
            if loan.until_s > now_s
        }
        for entry_id, loans in list(self._lent_by_entry.items()):
            loans[:] = [loan for loan in loans if loan.until_s > now_s]
            if not loans:
                del self._lent_by_entry[entry_id]
