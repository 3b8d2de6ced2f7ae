"""Place, queue or refuse each request of a service."""

import bisect
import dataclasses
import functools

from savoryyoke.placement import conf
from savoryyoke.placement import decisions
from savoryyoke.placement import events
from savoryyoke.placement import exceptions
from savoryyoke.placement import models
from savoryyoke.placement import retry_times

from savoryyoke.scarcity import models as scarcity_models

_Reason = models.RefusalReason
_MOST_URGENT = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Waiting:
    """Hold a queued request; a lower ``rank`` is placed earlier.

    ``level`` is its level of urgency for scarce capacity. It counts as
    the most urgent one for the capacity that it may use if it ``is_exempt``.
    """

    rank: tuple
    priority: int
    level: int
    is_exempt: bool
    arrival: events.RequestArrived | events.MoveRequested
    excluded_target_ids: frozenset[str] = frozenset()

    @property
    def capacity_level(self):
        """Return the level that decides which capacity may be used."""
        if self.is_exempt:
            return scarcity_models.MOST_URGENT_LEVEL
        return self.level

    @property
    def requirements(self):
        """Return what decides which targets may be used."""
        return (
            self.capacity_level,
            self.priority,
            self.arrival.regions,
            self.arrival.withheld_releases,
            self.excluded_target_ids,
        )


class Dispatcher:
    """Own the queue of one service at one entry.

    While targets have free capacity, a request is placed at once. Under
    overload, streams that should leave their target are placed first, then
    requests that can still meet their objective, then the others.

    A request that is not expected to leave the queue before its wait ends is
    refused on arrival, with a retry time that spreads callers out. If the pool
    has a scarcity account, an urgent request that arrives may thereby lead to
    the refusal of less urgent ones.

    While no target is in service, for example while a group of engines
    restarts, new requests are refused with a retry time at which the group
    may be back. Retried requests wait in the queue. While all targets are
    paused, a request that can't wait for the end of the earliest pause is
    refused and retried after it. While all targets limit their rates, a
    request is refused if its turn is not expected within its wait, also if a
    more urgent one takes its turn.

    ``random_fraction`` is a function that returns a random number from 0 to 1.
    """

    def __init__(self, *, pool, random_fraction):
        self._pool = pool
        self._random_fraction = random_fraction
        self._queue = []
        self._sequence = 0
        self._mean_service_time_s = None

    @property
    def queue_length(self):
        """Return how many requests wait for a target."""
        return len(self._queue)

    @property
    def pool(self):
        """Return the targets of the service."""
        return self._pool

    def apply(self, event, *, now_s):
        """Apply an event and return the decisions that follow from it.

        Raise ``UnknownEvent`` for an object that is not in ``events``.
        """
        return tuple(self._apply(event, now_s))

    @functools.singledispatchmethod
    def _apply(self, event, now_s):
        raise exceptions.UnknownEvent(event=event)

    @_apply.register
    def _(self, event: events.TargetsChanged, now_s):
        self._pool.replace_targets(event.targets, now_s=now_s)
        return self._process_queue(now_s)

    @_apply.register
    def _(self, event: events.PeerReported, now_s):
        self._pool.set_peer_requests(
            event.peer_id, event.requests_by_target_id, now_s=now_s
        )
        return self._process_queue(now_s)

    @_apply.register
    def _(self, event: events.PeerLost, now_s):
        self._pool.remove_peer(event.peer_id)
        return self._process_queue(now_s)

    @_apply.register
    def _(self, event: events.TryEnded, now_s):
        self._pool.record_try_end(event, now_s=now_s)
        self._record_service_time(event.service_time_s)
        return self._process_queue(now_s)

    @_apply.register
    def _(self, event: events.PauseMeasured, now_s):
        self._pool.record_pause(event.target, event.pause_s, now_s=now_s)
        return ()

    @_apply.register
    def _(self, event: events.TargetLeaving, now_s):
        self._pool.notices.record_leaving(event.target, now_s=now_s)
        return ()

    @_apply.register
    def _(self, event: events.TargetPaused, now_s):
        self._pool.notices.record_pause(
            event.target, pause_s=event.pause_s, now_s=now_s
        )
        return self._process_queue(now_s)

    @_apply.register
    def _(self, event: events.GroupRefused, now_s):
        self._pool.groups.record_refusal(event.target, now_s=now_s)
        return ()

    @_apply.register
    def _(self, event: events.GroupAnswered, now_s):
        self._pool.groups.record_answer(
            event.target, asked_s=event.asked_s, now_s=now_s
        )
        return self._process_queue(now_s)

    @_apply.register
    def _(self, event: events.RateLimitAnswered, now_s):
        self._pool.rate_limits.record_answer(
            event.target,
            limit_per_s=event.limit_per_s,
            asked_s=event.asked_s,
            now_s=now_s,
        )
        return self._process_queue(now_s)

    @_apply.register
    def _(self, event: events.RateLimitsReported, now_s):
        self._pool.add_rate_reports(
            event.reports,
            peer_id=event.peer_id,
            peer_incarnation=event.peer_incarnation,
            now_s=now_s,
        )
        return ()

    @_apply.register
    def _(self, event: events.LeavingHintsReceived, now_s):
        self._pool.notices.record_hints(event.hints, now_s=now_s)
        return ()

    @_apply.register
    def _(self, event: events.Ticked, now_s):
        return self._process_queue(now_s)

    @_apply.register
    def _(self, event: events.RequestWithdrawn, now_s):
        self._queue = [
            waiting
            for waiting in self._queue
            if waiting.arrival.request_id != event.request_id
        ]
        return ()

    @_apply.register
    def _(self, event: events.RetryRequested, now_s):
        target = self._pool.choose(
            now_s=now_s,
            regions=event.regions,
            excluded=event.tried_target_ids,
            withheld_releases=event.withheld_releases,
            is_retry=True,
        )
        self._pool.rate_limits.record_demand(
            priority=_MOST_URGENT, now_s=now_s
        )
        if target is None:
            return [self._refuse(event, _Reason.NO_OTHER_TARGET)]
        return [self._place(event.request_id, target, now_s)]

    @_apply.register
    def _(self, event: events.RequestArrived, now_s):
        if not self._pool.has_usable_target(
            now_s=now_s,
            regions=event.regions,
            withheld_releases=event.withheld_releases,
        ):
            return self._handle_no_service(event, now_s)
        waiting = self._enqueue(event, now_s)
        decided = self._process_queue(now_s)
        self._pool.rate_limits.record_demand(
            priority=event.priority, now_s=now_s
        )
        if (
            waiting in self._queue
            and self._find_target(waiting, now_s, may_wait=False) is None
        ):
            decided.extend(self._refuse_hopeless(waiting, now_s))
        return decided

    def _refuse_hopeless(self, arrived, now_s):
        """Refuse requests that would wait too long behind an arrived one.

        These are the arrived one itself and, if all targets are rate limited
        or capacity may be scarce, the less urgent ones that it has moved back
        in the queue.
        """
        position = self._queue.index(arrived)
        affected = [arrived]
        if (
            self._pool.account is not None
            or self._supply(arrived.arrival, now_s).is_rate_limited
        ):
            affected = self._queue[position:]
        refused = []
        for waiting in affected:
            if self._would_wait_too_long(waiting, now_s):
                refused.append(
                    self._refuse_waiting(
                        waiting, _Reason.QUEUE_TOO_LONG, now_s
                    )
                )
                self._queue.remove(waiting)
        return refused

    def _refuse_waiting(self, waiting, reason, now_s):
        """Refuse a queued request.

        If all its targets are rate limited, it is retried when its turn is
        expected.
        """
        arrival = waiting.arrival
        supply = self._supply(arrival, now_s)
        if not supply.is_rate_limited:
            if self._is_reserved(waiting, now_s):
                reason = _Reason.CAPACITY_RESERVED
            return self._refuse(
                arrival, reason, level=waiting.level, now_s=now_s
            )
        position = self._queue.index(waiting) + 1
        return decisions.Refuse(
            request_id=arrival.request_id,
            reason=_Reason.RATE_LIMITED,
            retry_after_s=position / supply.rate_per_s
            + self._random_fraction() * conf.RATE_RETRY_SPREAD_S,
        )

    def _is_reserved(self, waiting, now_s):
        """Return whether a more urgent request would have been placed."""
        return (
            waiting.capacity_level != scarcity_models.MOST_URGENT_LEVEL
            and self._pool.choose(
                now_s=now_s,
                regions=waiting.arrival.regions,
                excluded=waiting.excluded_target_ids,
                withheld_releases=waiting.arrival.withheld_releases,
            )
            is not None
        )

    def _supply(self, arrival, now_s):
        return self._pool.supply(
            now_s=now_s,
            regions=arrival.regions,
            withheld_releases=arrival.withheld_releases,
        )

    @_apply.register
    def _(self, event: events.MoveRequested, now_s):
        self._insert(
            event,
            is_move=True,
            is_on_time=True,
            priority=_MOST_URGENT,
            excluded_target_ids=event.tried_target_ids,
        )
        return self._process_queue(now_s)

    def _handle_no_service(self, event, now_s):
        if not self._pool.has_possible_target(regions=event.regions):
            return [self._refuse(event, _Reason.NO_TARGET)]
        if event.outage_wait_until_s is not None:
            event = dataclasses.replace(
                event, wait_until_s=event.outage_wait_until_s
            )
        elif event.is_on_time:
            return [self._refuse(event, _Reason.NO_TARGET)]
        self._enqueue(event, now_s)
        return ()

    def _enqueue(self, event, now_s):
        account = self._pool.account
        level, team_work = scarcity_models.MOST_URGENT_LEVEL, 0.0
        is_exempt = False
        if account is not None:
            level = account.find_level(event)
            is_exempt = account.is_exempt(event, now_s=now_s)
            team_work = account.rank_team(event.team, now_s=now_s)
        return self._insert(
            event,
            is_move=False,
            is_on_time=event.is_on_time,
            priority=event.priority,
            level=level,
            is_exempt=is_exempt,
            team_work=team_work,
        )

    def _insert(
        self,
        event,
        *,
        is_move,
        is_on_time,
        priority,
        level=scarcity_models.MOST_URGENT_LEVEL,
        is_exempt=False,
        team_work=0.0,
        excluded_target_ids=frozenset(),
    ):
        self._sequence += 1
        urgency = priority if self._pool.account is None else level
        waiting = _Waiting(
            rank=(
                not is_move,
                not is_on_time,
                urgency,
                team_work,
                self._sequence,
            ),
            priority=priority,
            level=level,
            is_exempt=is_exempt,
            arrival=event,
            excluded_target_ids=excluded_target_ids,
        )
        bisect.insort(self._queue, waiting, key=lambda queued: queued.rank)
        return waiting

    def _process_queue(self, now_s):
        """Place requests that fit and refuse others whose wait is over.

        A request may arrive with its wait over, if it waited for the
        configuration before.
        """
        decided = []
        still_waiting = []
        # While capacity is scarce, many requests wait although slots are free.
        # None of them finds a target if an equal one has found none.
        hopeless = set()
        for waiting in self._queue:
            arrival = waiting.arrival
            target = None
            if waiting.requirements not in hopeless:
                target = self._find_target(waiting, now_s, may_wait=True)
                if target is None and self._pool.account is not None:
                    hopeless.add(waiting.requirements)
            if target is not None:
                decided.append(self._place(arrival.request_id, target, now_s))
                self._record_decision(arrival, is_served=True, now_s=now_s)
            elif now_s >= arrival.wait_until_s:
                decided.append(
                    self._refuse_waiting(
                        waiting, _Reason.WAITED_TOO_LONG, now_s
                    )
                )
            elif self._is_paused_beyond_wait(arrival, now_s):
                decided.append(self._refuse_paused(arrival, now_s))
            else:
                still_waiting.append(waiting)
        self._queue = still_waiting
        return decided

    def _find_target(self, waiting, now_s, *, may_wait):
        return self._pool.choose(
            now_s=now_s,
            regions=waiting.arrival.regions,
            excluded=waiting.excluded_target_ids,
            withheld_releases=waiting.arrival.withheld_releases,
            priority=waiting.priority,
            level=waiting.capacity_level,
            may_wait=may_wait,
        )

    def _record_decision(self, arrival, *, is_served, now_s):
        account = self._pool.account
        if account is not None and isinstance(arrival, events.RequestArrived):
            account.record_decision(arrival, is_served=is_served, now_s=now_s)

    def _place(self, request_id, target, now_s):
        in_flight = self._pool.in_flight(target.target_id)
        self._pool.record_sent(target.target_id, now_s=now_s)
        return decisions.Place(
            request_id=request_id, target=target, in_flight=in_flight
        )

    def _is_paused_beyond_wait(self, arrival, now_s):
        """Return whether every target is paused beyond a request's wait."""
        end_s = self._pause_end_s(arrival, now_s)
        return end_s is not None and end_s >= arrival.wait_until_s

    def _pause_end_s(self, arrival, now_s):
        return self._pool.all_paused_until_s(
            now_s=now_s,
            regions=arrival.regions,
            withheld_releases=arrival.withheld_releases,
        )

    def _refuse_paused(self, arrival, now_s):
        pause_left_s = self._pause_end_s(arrival, now_s) - now_s
        return decisions.Refuse(
            request_id=arrival.request_id,
            reason=_Reason.ALL_PAUSED,
            retry_after_s=pause_left_s
            + self._random_fraction() * conf.PAUSE_RETRY_SPREAD_S,
        )

    def _would_wait_too_long(self, waiting, now_s):
        """Return whether a request is expected to wait too long.

        The estimate assumes that each of this entry's requests in flight
        completes within the mean service time. Those at targets with a rate
        limit make no room, since other requests may use that limit.
        """
        supply = self._supply(waiting.arrival, now_s)
        requests_per_s = supply.rate_per_s
        if not supply.is_rate_limited:
            if self._mean_service_time_s is None:
                return False
            in_flight = max(supply.unlimited_in_flight, 1)
            requests_per_s += in_flight / self._mean_service_time_s
        position = self._queue.index(waiting) + 1
        expected_wait_s = position / requests_per_s
        return now_s + expected_wait_s > waiting.arrival.wait_until_s

    def _record_service_time(self, service_time_s):
        if service_time_s is None:
            return
        if self._mean_service_time_s is None:
            self._mean_service_time_s = service_time_s
        self._mean_service_time_s += conf.RESULT_WEIGHT * (
            service_time_s - self._mean_service_time_s
        )

    def _refuse(self, event, reason, *, level=None, now_s=None):
        """Return the refusal of a request.

        With a ``level``, it is refused for want of capacity.
        """
        account = self._pool.account
        if account is not None and level is not None:
            self._record_decision(event, is_served=False, now_s=now_s)
            return decisions.Refuse(
                request_id=event.request_id,
                reason=reason,
                retry_after_s=account.choose_retry_after_s(
                    level=level,
                    longest_s=event.time_left_s * conf.RETRY_AFTER_MAX_SHARE,
                    placed_per_s=self._pool.placement_rate_per_s(now_s=now_s),
                    now_s=now_s,
                ),
                level=level,
                limit_share=self._pool.lowest_limit_share(now_s=now_s),
            )
        choose_retry_after_s = retry_times.choose_retry_after_s
        if reason is _Reason.NO_TARGET:
            choose_retry_after_s = retry_times.choose_outage_retry_after_s
        return decisions.Refuse(
            request_id=event.request_id,
            reason=reason,
            retry_after_s=choose_retry_after_s(
                time_left_s=event.time_left_s,
                random_fraction=self._random_fraction,
            ),
        )
