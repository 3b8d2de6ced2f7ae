"""Provide the token bucket for one entry's share of a limit."""

import dataclasses
import math

from savoryyoke.limits import conf


@dataclasses.dataclass(frozen=True, kw_only=True)
class Loan:
    """Describe a lent rate; ``until_s`` is on the clock of this entry."""

    rate_per_s: float
    until_s: float


class Bucket:
    """Count what one entry may spend of one limit.

    Amounts are numbers of requests or of tokens. The bucket starts full
    and refills from ``accrues_from_s`` on. A lent rate stops refilling it
    as soon as the loan is granted. A borrowed rate refills it until the
    loan expires, even if the process was suspended in the meantime.
    """

    def __init__(self, *, base_per_s, accrues_from_s):
        self.base_per_s = base_per_s
        self.demand_per_s = 0.0
        self._level = self.capacity
        self._refilled_until_s = accrues_from_s
        self._loans_by_borrower = {}
        self._loan_by_lender = {}

    @property
    def capacity(self):
        """Return the largest amount that the bucket can store."""
        return self.base_per_s * conf.BURST_S

    def change_base(self, *, base_per_s, now_s):
        """Set a new base rate, after refilling at the old one."""
        self.refill(now_s=now_s)
        self.base_per_s = base_per_s

    def refill(self, *, now_s):
        """Add what has accrued since the last refill."""
        if now_s <= self._refilled_until_s:
            return
        elapsed_s = now_s - self._refilled_until_s
        accrued = self.base_per_s * elapsed_s
        for loans in self._loans_by_borrower.values():
            accrued -= self._lent_amount(loans, now_s)
        for loan in self._loan_by_lender.values():
            accrued += loan.rate_per_s * self._overlap_s(loan, now_s)
        self._level = min(self._level + accrued, self.capacity)
        self._refilled_until_s = now_s
        self._forget_expired(now_s)

    def can_spend(self, amount):
        """Return whether an amount may be spent now.

        An amount above the capacity needs a full bucket and makes its level
        negative; otherwise it could never be spent.
        """
        return self._level >= min(amount, self.capacity)

    def spend(self, amount):
        """Subtract an amount; a negative amount is a refund."""
        self._level = min(self._level - amount, self.capacity)

    def wait_s(self, amount, *, now_s):
        """Return the seconds until the amount can be spent."""
        missing_amount = min(amount, self.capacity) - self._level
        wait_s = max(missing_amount, 0.0) / self.rate_per_s
        return wait_s + max(self._refilled_until_s - now_s, 0.0)

    @property
    def rate_per_s(self):
        """Return the present refill rate, at least the reserved share."""
        rate = self.base_per_s - self.lent_per_s()
        rate += self.borrowed_per_s()
        # A fully lent share is available again when the loan ends.
        return max(rate, conf.LENDER_RESERVE_SHARE * self.base_per_s)

    def record_demand(self, amount):
        """Count the amount of a call, whether it is admitted or not."""
        self.demand_per_s += amount / conf.DEMAND_SMOOTHING_S

    def decay_demand(self, *, elapsed_s):
        """Decay the demand exponentially; called with each heartbeat."""
        self.demand_per_s *= math.exp(-elapsed_s / conf.DEMAND_SMOOTHING_S)

    def lent_per_s(self, *, except_to=None):
        """Return the rate that is lent to other entries."""
        return sum(
            max((loan.rate_per_s for loan in loans), default=0.0)
            for entry_id, loans in self._loans_by_borrower.items()
            if entry_id != except_to
        )

    def borrowed_per_s(self, *, except_from=None):
        """Return the rate that is borrowed from other entries."""
        return sum(
            loan.rate_per_s
            for entry_id, loan in self._loan_by_lender.items()
            if entry_id != except_from
        )

    def lend(self, *, entry_id, requested_per_s, now_s):
        """Lend another entry as much as possible; return the rate."""
        self.refill(now_s=now_s)
        needed_per_s = (
            self.demand_per_s + conf.LENDER_RESERVE_SHARE * self.base_per_s
        )
        spare_per_s = (
            self.base_per_s
            - needed_per_s
            - self.lent_per_s(except_to=entry_id)
        )
        rate = max(min(requested_per_s, spare_per_s), 0.0)
        until_s = now_s + conf.LOAN_DURATION_S * (1 + conf.CLOCK_DRIFT_SHARE)
        loans = self._loans_by_borrower.setdefault(entry_id, [])
        loans.append(Loan(rate_per_s=rate, until_s=until_s))
        return rate

    def borrow(self, *, entry_id, loan, now_s):
        """Replace the previous loan of a lender; ignore an expired loan."""
        self.refill(now_s=now_s)
        if loan.until_s > now_s:
            self._loan_by_lender[entry_id] = loan

    def _lent_amount(self, loans, now_s):
        # The borrower may still use an older loan if the newer grant was lost.
        rate = max((loan.rate_per_s for loan in loans), default=0.0)
        return rate * max(
            (self._overlap_s(loan, now_s) for loan in loans), default=0.0
        )

    def _overlap_s(self, loan, now_s):
        return max(min(now_s, loan.until_s) - self._refilled_until_s, 0.0)

    def _forget_expired(self, now_s):
        self._loan_by_lender = {
            entry_id: loan
            for entry_id, loan in self._loan_by_lender.items()
            if loan.until_s > now_s
        }
        for entry_id, loans in list(self._loans_by_borrower.items()):
            loans[:] = [loan for loan in loans if loan.until_s > now_s]
            if not loans:
                del self._loans_by_borrower[entry_id]
