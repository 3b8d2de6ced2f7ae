"""Decide which calls a target starts, queues or refuses."""

import dataclasses
import functools

from savoryyoke.admission import conf
from savoryyoke.admission import decisions
from savoryyoke.admission import estimates
from savoryyoke.admission import events
from savoryyoke.admission import exceptions
from savoryyoke.admission import queues
from savoryyoke.admission import retry_schedules
from savoryyoke.admission import warmup

_Reason = decisions.RefusalReason


@dataclasses.dataclass(kw_only=True)
class _RunningCall:
    cost: float
    epoch: int
    cancelable: bool
    aborted: bool = False


class Admission:
    """Protect the back end of one target against overload.

    Each arriving call gets exactly one Start or Refuse decision, either
    immediately or after a Queue decision. A running call counts against
    the concurrency limit until it is Finished, even after an Abort. Events
    about unknown calls are ignored.
    """

    def __init__(self, *, limits, policy=None):
        self._limits = limits
        self._concurrency = warmup.ConcurrencyLimit(
            limits=limits, policy=policy or conf.WarmUpPolicy()
        )
        self._queue = queues.FairQueue()
        self._service_estimate = estimates.ServiceEstimate()
        self._retry_schedule = retry_schedules.RetrySchedule()
        self._running_calls_by_id = {}
        self._expiry_refusals = []
        self._draining = False
        self._stopped = False

    @property
    def next_expiry_s(self):
        """Return when the next Ticked event is due; None if no call waits."""
        return self._queue.next_latest_start_s

    def snapshot(self):
        """Return the present load of the target."""
        return decisions.LoadReport(
            running=len(self._running_calls_by_id),
            queued=len(self._queue),
            concurrency_limit=(
                0 if self._stopped else self._concurrency.in_force
            ),
            cold=self._concurrency.cold,
            draining=self._draining,
            estimated_wait_s=self._wait_s(cost_ahead=self._queue.cost),
        )

    def apply(self, event, *, now_s):
        """Apply an event and return the resulting decisions.

        Raises UnknownEvent for an unsupported event type and DuplicateCall
        for an arrival whose call id is already waiting or running.
        """
        self._concurrency.halve_if_idle(
            now_s=now_s, running=len(self._running_calls_by_id)
        )
        # Stored until an event is accepted, so that an error loses no refusal.
        self._expiry_refusals.extend(self._refuse_expired_calls(now_s))
        new_decisions = self._apply(event, now_s)
        expired = tuple(self._expiry_refusals)
        self._expiry_refusals.clear()
        return expired + new_decisions + self._start_queued_calls()

    @functools.singledispatchmethod
    def _apply(self, event, now_s):
        raise exceptions.UnknownEvent(type(event).__name__)

    @_apply.register
    def _(self, event: events.Ticked, now_s):
        return ()

    @_apply.register
    def _(self, event: events.BackendStopped, now_s):
        self._stopped = True
        if self._running_calls_by_id:
            self._concurrency.record_crash()
        return self._refuse_queued_calls(_Reason.BACKEND_STOPPED)

    @_apply.register
    def _(self, event: events.BackendRestarted, now_s):
        self._stopped = False
        self._concurrency.turn_cold()
        return ()

    @_apply.register
    def _(self, event: events.BackendTurnedCold, now_s):
        self._concurrency.turn_cold()
        return ()

    @_apply.register
    def _(self, event: events.LimitsChanged, now_s):
        self._limits = event.limits
        self._concurrency.change_limits(
            limits=event.limits, policy=event.policy
        )
        return ()

    @_apply.register
    def _(self, event: events.DrainStarted, now_s):
        self._draining = True
        return self._refuse_queued_calls(_Reason.DRAINING)

    @_apply.register
    def _(self, event: events.DrainEnded, now_s):
        self._draining = False
        return ()

    @_apply.register
    def _(self, event: events.Cancelled, now_s):
        running = self._running_calls_by_id.get(event.call_id)
        if running is not None:
            return self._abort(event.call_id, running)
        if self._queue.remove(event.call_id) is None:
            return ()
        return (self._build_refusal(event.call_id, _Reason.CANCELLED),)

    @_apply.register
    def _(self, event: events.Released, now_s):
        self._running_calls_by_id.pop(event.call_id, None)
        return ()

    @_apply.register
    def _(self, event: events.Finished, now_s):
        running_before = len(self._running_calls_by_id)
        running = self._running_calls_by_id.pop(event.call_id, None)
        if running is None or running.aborted:
            return ()
        if not event.succeeded:
            self._concurrency.record_failure(epoch=running.epoch)
            return ()
        self._service_estimate.observe(
            cost=running.cost, service_time_s=event.service_time_s
        )
        self._concurrency.record_success(
            epoch=running.epoch,
            limit_was_used=running_before >= self._concurrency.in_force,
            service_s_per_cost=event.service_time_s / running.cost,
            first_token_s=event.first_token_s,
        )
        return ()

    @_apply.register
    def _(self, event: events.Arrived, now_s):
        if self._is_waiting_or_running(event.call_id):
            raise exceptions.DuplicateCall(event.call_id)
        if self._draining:
            return (self._build_refusal(event.call_id, _Reason.DRAINING),)
        if self._stopped:
            return (
                self._build_refusal(event.call_id, _Reason.BACKEND_STOPPED),
            )
        if event.remaining_s <= 0:
            return (
                self._build_refusal(event.call_id, _Reason.DEADLINE_PASSED),
            )
        if self._has_room() and not len(self._queue):
            return self._queue_call(event, now_s)
        wait_s = self._wait_s(cost_ahead=self._cost_ahead(event))
        reason = self._find_refusal_reason(event, wait_s)
        if reason is not None:
            return (self._refuse_with_retry(event, reason, wait_s, now_s),)
        displaced = ()
        if self._free_queue_places() <= 0:
            displaced = self._displace_call(event, wait_s, now_s)
        queued = decisions.Queue(
            call_id=event.call_id, estimated_wait_s=wait_s
        )
        return (*displaced, queued, *self._queue_call(event, now_s))

    def _find_refusal_reason(self, event, wait_s):
        """Return why to refuse a call that must wait; None to queue it."""
        service_s = self._service_estimate.service_s(cost=event.cost)
        if wait_s + service_s > event.remaining_s:
            return _Reason.DEADLINE_UNREACHABLE
        queued_of_team = self._queue.team_count(event.team)
        free_places = self._free_queue_places()
        if free_places <= 0:
            weighted_count = (queued_of_team + 1) / event.weight
            if self._queue.max_weighted_count <= weighted_count:
                return _Reason.QUEUE_FULL
        # A team may use as many places as are free, times its weight, so
        # that a burst of one team cannot fill the whole queue.
        elif queued_of_team >= max(1.0, free_places * event.weight):
            return _Reason.TEAM_QUEUE_FULL
        return None

    def _displace_call(self, event, wait_s, now_s):
        call = self._queue.remove_last_of_longest_queue()
        return (
            self._refuse_with_retry(call, _Reason.DISPLACED, wait_s, now_s),
        )

    def _queue_call(self, event, now_s):
        service_s = self._service_estimate.service_s(cost=event.cost)
        slack_s = max(event.remaining_s - service_s, 0.0)
        call = queues.QueuedCall(
            call_id=event.call_id,
            team=event.team,
            weight=event.weight,
            priority=event.priority,
            cost=event.cost,
            cancelable=event.cancelable,
            arrived_s=now_s,
            latest_start_s=now_s + slack_s,
        )
        self._queue.push(call)
        return ()

    def _start_queued_calls(self):
        started = []
        while self._has_room():
            call = self._queue.pop()
            if call is None:
                break
            self._running_calls_by_id[call.call_id] = _RunningCall(
                cost=call.cost,
                epoch=self._concurrency.epoch,
                cancelable=call.cancelable,
            )
            started.append(decisions.Start(call_id=call.call_id))
        return tuple(started)

    def _refuse_expired_calls(self, now_s):
        expired = self._queue.remove_expired(now_s=now_s)
        if not expired:
            return ()
        wait_s = self._wait_s(cost_ahead=self._queue.cost)
        return tuple(
            self._refuse_with_retry(
                call, _Reason.DEADLINE_PASSED, wait_s, now_s
            )
            for call in expired
        )

    def _abort(self, call_id, running):
        if running.aborted or not running.cancelable:
            return ()
        running.aborted = True
        return (decisions.Abort(call_id=call_id),)

    def _refuse_queued_calls(self, reason):
        # Queued calls have not run, so another target may run them.
        call_ids = self._queue.call_ids
        for call_id in call_ids:
            self._queue.remove(call_id)
        return tuple(
            self._build_refusal(call_id, reason) for call_id in call_ids
        )

    def _refuse_with_retry(self, call, reason, wait_s, now_s):
        service_s = self._service_estimate.service_s(cost=call.cost)
        if reason is _Reason.DEADLINE_UNREACHABLE:
            wait_s = wait_s + service_s - call.remaining_s
        share = self._queue.share(team=call.team, weight=call.weight)
        retry_after_s = self._retry_schedule.retry_after_s(
            team=call.team,
            wait_s=wait_s,
            service_s=service_s / (share * self._concurrency.in_force),
            now_s=now_s,
        )
        return self._build_refusal(call.call_id, reason, retry_after_s)

    def _build_refusal(self, call_id, reason, retry_after_s=0.0):
        return decisions.Refuse(
            call_id=call_id, reason=reason, retry_after_s=retry_after_s
        )

    def _cost_ahead(self, event):
        return self._queue.cost_ahead(
            team=event.team,
            weight=event.weight,
            priority=event.priority,
            cost=event.cost,
        )

    def _wait_s(self, *, cost_ahead):
        if self._has_room() and not len(self._queue):
            return 0.0
        # The running calls count as one additional call of mean cost.
        return self._service_estimate.drain_s(
            cost=cost_ahead + self._service_estimate.mean_cost,
            concurrency=self._concurrency.in_force,
        )

    def _has_room(self):
        return len(self._running_calls_by_id) < self._concurrency.in_force

    def _is_waiting_or_running(self, call_id):
        return call_id in self._running_calls_by_id or call_id in self._queue

    def _free_queue_places(self):
        return self._limits.queue_limit - len(self._queue)
