"""Decide which tries of a service's calls are repeated at one entry."""

import dataclasses
import functools
import heapq

from savoryyoke.retries import budgets
from savoryyoke.retries import deadlines
from savoryyoke.retries import decisions
from savoryyoke.retries import events
from savoryyoke.retries import exceptions
from savoryyoke.retries import latencies

_Reason = decisions.GiveUpReason
_HEDGING_NEEDS_SHARE = 0.5
_PROVABLY_NOT_RUN = frozenset(
    {
        events.Failure.UNREACHABLE,
        events.Failure.DRAINING,
        events.Failure.OVERLOADED,
    }
)
# These cost no back end any work and are no sign of overload. A planned
# stop hands back many calls at once, and all of them have to be saved.
_FREE_TO_REPEAT = frozenset(
    {events.Failure.UNREACHABLE, events.Failure.DRAINING}
)


@dataclasses.dataclass(kw_only=True)
class _Call:
    idempotent: bool
    deadline: deadlines.Deadline
    hedge_at_s: float | None
    tries: int = 1
    awaited_sends: int = 0
    open_target_ids: list[str] = dataclasses.field(default_factory=list)
    tried_target_ids: list[str] = dataclasses.field(default_factory=list)
    not_run: bool = True
    retry_after_s: float = 0.0

    def note_retry_after(self, retry_after_s):
        """Keep the least estimate that a target gave."""
        known = [t for t in (self.retry_after_s, retry_after_s) if t > 0]
        self.retry_after_s = min(known, default=0.0)


class ServiceRetries:
    """Repeat safe tries of one service within its budget.

    Entries are the only processes that repeat tries; a target process
    hands each call to its back end once.
    """

    def __init__(self, *, policy, now_s):
        self._policy = policy
        self._budget = budgets.RetryBudget(policy=policy, now_s=now_s)
        self._latencies = latencies.LatencyQuantiles()
        self._calls_by_id = {}
        self._hedges = []

    def apply(self, event, *, now_s):
        """Take in an event and return the decisions that follow from it.

        Raises UnknownEvent for other types and DuplicateCall for a first
        try of an open call. Events about closed calls change nothing.
        """
        return self._apply(event, now_s)

    @property
    def next_hedge_s(self):
        """Return when a tick is due for a hedge; None if none may come."""
        while self._hedges and self._hedges[0][1] not in self._calls_by_id:
            heapq.heappop(self._hedges)
        return self._hedges[0][0] if self._hedges else None

    @functools.singledispatchmethod
    def _apply(self, event, now_s):
        raise exceptions.UnknownEvent(type(event).__name__)

    @_apply.register
    def _(self, event: events.FirstTry, now_s):
        if event.call_id in self._calls_by_id:
            raise exceptions.DuplicateCall(event.call_id)
        self._budget.deposit()
        delay_s = self._hedge_delay_s(event.idempotent)
        call = _Call(
            idempotent=event.idempotent,
            deadline=event.deadline,
            hedge_at_s=None if delay_s is None else now_s + delay_s,
            open_target_ids=[event.target_id],
            tried_target_ids=[event.target_id],
        )
        self._calls_by_id[event.call_id] = call
        if call.hedge_at_s is not None:
            heapq.heappush(self._hedges, (call.hedge_at_s, event.call_id))
        return ()

    @_apply.register
    def _(self, event: events.TrySent, now_s):
        call = self._calls_by_id.get(event.call_id)
        if call is None:
            # Answered while the repeated try was on its way out.
            return (
                decisions.CancelTry(
                    call_id=event.call_id, target_id=event.target_id
                ),
            )
        call.awaited_sends -= 1
        call.open_target_ids.append(event.target_id)
        call.tried_target_ids.append(event.target_id)
        return ()

    @_apply.register
    def _(self, event: events.TryAnswered, now_s):
        self._latencies.observe(latency_s=event.latency_s)
        return self._close(event.call_id, except_target_id=event.target_id)

    @_apply.register
    def _(self, event: events.CallerLeft, now_s):
        return self._close(event.call_id)

    @_apply.register
    def _(self, event: events.Ticked, now_s):
        made = []
        while self.next_hedge_s is not None and self.next_hedge_s <= now_s:
            _, call_id = heapq.heappop(self._hedges)
            made.extend(self._hedge(call_id, now_s))
        return tuple(made)

    @_apply.register
    def _(self, event: events.TryFailed, now_s):
        call = self._calls_by_id.get(event.call_id)
        if call is None or event.target_id not in call.open_target_ids:
            return ()
        call.open_target_ids.remove(event.target_id)
        call.note_retry_after(event.retry_after_s)
        if event.failure not in _PROVABLY_NOT_RUN:
            call.not_run = False
        if call.open_target_ids or call.awaited_sends:
            return ()
        reason = self._objection(call, event.failure, now_s)
        if reason is None:
            return (self._repeat(event.call_id, call, now_s, hedge=False),)
        return self._give_up(event.call_id, reason)

    @_apply.register
    def _(self, event: events.TryNotSent, now_s):
        call = self._calls_by_id.get(event.call_id)
        if call is None:
            return ()
        call.awaited_sends -= 1
        if call.open_target_ids or call.awaited_sends:
            return ()
        return self._give_up(event.call_id, _Reason.NO_TARGET)

    def _give_up(self, call_id, reason):
        call = self._calls_by_id.pop(call_id)
        return (
            decisions.GiveUp(
                call_id=call_id,
                reason=reason,
                not_run=call.not_run,
                retry_after_s=call.retry_after_s,
            ),
        )

    def _objection(self, call, failure, now_s):
        if failure is events.Failure.FINAL:
            return _Reason.FINAL
        if not call.idempotent and not call.not_run:
            return _Reason.MAY_HAVE_RUN
        if call.tries >= self._policy.most_tries:
            return _Reason.TRIES_SPENT
        if not call.deadline.allows_try(now_s=now_s):
            return _Reason.DEADLINE
        if failure in _FREE_TO_REPEAT:
            return None
        if not self._budget.withdraw(now_s=now_s):
            return _Reason.BUDGET_SPENT
        return None

    def _hedge(self, call_id, now_s):
        call = self._calls_by_id[call_id]
        if call.tries > 1 or not call.deadline.allows_try(now_s=now_s):
            return ()
        # Half of the budget is kept for calls that have failed.
        if self._budget.filled_share < _HEDGING_NEEDS_SHARE:
            return ()
        if not self._budget.withdraw(now_s=now_s):
            return ()
        return (self._repeat(call_id, call, now_s, hedge=True),)

    def _hedge_delay_s(self, idempotent):
        policy = self._policy
        if not idempotent or policy.most_tries < 2:
            return None
        if self._latencies.samples < policy.hedge_least_samples:
            return None
        delay_s = self._latencies.quantile_s(policy.hedge_quantile)
        return delay_s if delay_s < policy.hedge_below_s else None

    def _repeat(self, call_id, call, now_s, *, hedge):
        call.tries += 1
        call.awaited_sends += 1
        return decisions.TryAgain(
            call_id=call_id,
            remaining_s=call.deadline.for_next_hop_s(now_s=now_s),
            exclude_target_ids=tuple(call.tried_target_ids),
            hedge=hedge,
        )

    def _close(self, call_id, *, except_target_id=None):
        call = self._calls_by_id.pop(call_id, None)
        if call is None:
            return ()
        return tuple(
            decisions.CancelTry(call_id=call_id, target_id=target_id)
            for target_id in call.open_target_ids
            if target_id != except_target_id
        )
