"""Decide at one entry which tries of a service's calls are repeated."""

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
_MIN_BUDGET_SHARE_FOR_HEDGE = 0.5
_NOT_RUN_FAILURES = frozenset(
    {
        events.Failure.UNREACHABLE,
        events.Failure.DRAINING,
        events.Failure.OVERLOADED,
    }
)
# Repeats after these failures are not charged to the budget: no back end did
# any work, and they are no sign of overload. A target that shuts down hands
# back many calls at once, and every one of them must be repeated.
_BUDGET_EXEMPT_FAILURES = frozenset(
    {events.Failure.UNREACHABLE, events.Failure.DRAINING}
)


@dataclasses.dataclass(kw_only=True)
class _Call:
    idempotent: bool
    deadline: deadlines.Deadline
    hedge_at_s: float | None
    tries: int = 1
    pending_sends: int = 0
    open_target_ids: list[str] = dataclasses.field(default_factory=list)
    tried_target_ids: list[str] = dataclasses.field(default_factory=list)
    not_run: bool = True
    retry_after_s: float = 0.0

    def record_retry_after(self, retry_after_s):
        """Keep the shortest estimate in seconds; 0.0 means no estimate."""
        estimates_s = [
            estimate_s
            for estimate_s in (self.retry_after_s, retry_after_s)
            if estimate_s > 0
        ]
        self.retry_after_s = min(estimates_s, default=0.0)


class ServiceRetries:
    """Decide when a try of one service can be repeated within its budget.

    Only entries repeat tries; a target process passes each call to its
    back end once.
    """

    def __init__(self, *, policy, now_s):
        self._policy = policy
        self._budget = budgets.RetryBudget(policy=policy, now_s=now_s)
        self._latencies = latencies.LatencyQuantiles()
        self._open_calls_by_id = {}
        self._hedge_heap = []

    def apply(self, event, *, now_s):
        """Apply an event and return the resulting decisions.

        Raises UnknownEvent for an unsupported event type and DuplicateCall
        for the first try of a call that is already open. Events about
        closed calls are ignored, except that TrySent cancels the new try.
        """
        return self._apply(event, now_s)

    @property
    def next_hedge_s(self):
        """Return when the next Ticked event is due; None without a hedge."""
        while (
            self._hedge_heap
            and self._hedge_heap[0][1] not in self._open_calls_by_id
        ):
            heapq.heappop(self._hedge_heap)
        return self._hedge_heap[0][0] if self._hedge_heap else None

    @functools.singledispatchmethod
    def _apply(self, event, now_s):
        raise exceptions.UnknownEvent(type(event).__name__)

    @_apply.register
    def _(self, event: events.FirstTry, now_s):
        if event.call_id in self._open_calls_by_id:
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
        self._open_calls_by_id[event.call_id] = call
        if call.hedge_at_s is not None:
            heapq.heappush(self._hedge_heap, (call.hedge_at_s, event.call_id))
        return ()

    @_apply.register
    def _(self, event: events.TrySent, now_s):
        call = self._open_calls_by_id.get(event.call_id)
        if call is None:
            # The call was closed while the repeated try was being sent.
            return (
                decisions.CancelTry(
                    call_id=event.call_id, target_id=event.target_id
                ),
            )
        call.pending_sends -= 1
        call.open_target_ids.append(event.target_id)
        call.tried_target_ids.append(event.target_id)
        return ()

    @_apply.register
    def _(self, event: events.TryAnswered, now_s):
        self._latencies.observe(latency_s=event.latency_s)
        return self._close_call(
            event.call_id, except_target_id=event.target_id
        )

    @_apply.register
    def _(self, event: events.CallerLeft, now_s):
        return self._close_call(event.call_id)

    @_apply.register
    def _(self, event: events.Ticked, now_s):
        hedge_decisions = []
        while self.next_hedge_s is not None and self.next_hedge_s <= now_s:
            _, call_id = heapq.heappop(self._hedge_heap)
            hedge_decisions.extend(self._start_hedge(call_id, now_s))
        return tuple(hedge_decisions)

    @_apply.register
    def _(self, event: events.TryFailed, now_s):
        call = self._open_calls_by_id.get(event.call_id)
        if call is None or event.target_id not in call.open_target_ids:
            return ()
        call.open_target_ids.remove(event.target_id)
        call.record_retry_after(event.retry_after_s)
        if event.failure not in _NOT_RUN_FAILURES:
            call.not_run = False
        if call.open_target_ids or call.pending_sends:
            return ()
        reason = self._give_up_reason(call, event.failure, now_s)
        if reason is None:
            return (self._repeat_try(event.call_id, call, now_s, hedge=False),)
        return self._give_up_call(event.call_id, reason)

    @_apply.register
    def _(self, event: events.TryNotSent, now_s):
        call = self._open_calls_by_id.get(event.call_id)
        if call is None:
            return ()
        call.pending_sends -= 1
        if call.open_target_ids or call.pending_sends:
            return ()
        return self._give_up_call(event.call_id, _Reason.NO_TARGET)

    def _give_up_call(self, call_id, reason):
        call = self._open_calls_by_id.pop(call_id)
        return (
            decisions.GiveUp(
                call_id=call_id,
                reason=reason,
                not_run=call.not_run,
                retry_after_s=call.retry_after_s,
            ),
        )

    def _give_up_reason(self, call, failure, now_s):
        if failure is events.Failure.FINAL:
            return _Reason.FINAL
        if not call.idempotent and not call.not_run:
            return _Reason.MAY_HAVE_RUN
        if call.tries >= self._policy.max_tries:
            return _Reason.TRIES_SPENT
        if not call.deadline.allows_try(now_s=now_s):
            return _Reason.DEADLINE
        if failure in _BUDGET_EXEMPT_FAILURES:
            return None
        if not self._budget.withdraw(now_s=now_s):
            return _Reason.BUDGET_SPENT
        return None

    def _start_hedge(self, call_id, now_s):
        call = self._open_calls_by_id[call_id]
        if call.tries > 1 or not call.deadline.allows_try(now_s=now_s):
            return ()
        # Half of the budget is reserved for repeats of failed tries.
        if self._budget.filled_share < _MIN_BUDGET_SHARE_FOR_HEDGE:
            return ()
        if not self._budget.withdraw(now_s=now_s):
            return ()
        return (self._repeat_try(call_id, call, now_s, hedge=True),)

    def _hedge_delay_s(self, idempotent):
        policy = self._policy
        if not idempotent or policy.max_tries < 2:
            return None
        if self._latencies.samples < policy.hedge_min_samples:
            return None
        delay_s = self._latencies.quantile_s(policy.hedge_quantile)
        return delay_s if delay_s < policy.hedge_max_delay_s else None

    def _repeat_try(self, call_id, call, now_s, *, hedge):
        call.tries += 1
        call.pending_sends += 1
        return decisions.TryAgain(
            call_id=call_id,
            remaining_s=call.deadline.for_next_hop_s(now_s=now_s),
            exclude_target_ids=tuple(call.tried_target_ids),
            hedge=hedge,
        )

    def _close_call(self, call_id, *, except_target_id=None):
        call = self._open_calls_by_id.pop(call_id, None)
        if call is None:
            return ()
        return tuple(
            decisions.CancelTry(call_id=call_id, target_id=target_id)
            for target_id in call.open_target_ids
            if target_id != except_target_id
        )
