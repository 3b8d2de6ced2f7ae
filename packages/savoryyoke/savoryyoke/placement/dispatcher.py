"""Decide where each request of a service goes, or that it must return."""

import bisect
import dataclasses
import functools

from savoryyoke.placement import conf
from savoryyoke.placement import decisions
from savoryyoke.placement import events
from savoryyoke.placement import exceptions
from savoryyoke.placement import models
from savoryyoke.placement import returns

_Reason = models.RefusalReason


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Waiting:
    """Hold a queued request; ``rank`` orders the queue."""

    rank: tuple
    arrival: events.RequestArrived


class Dispatcher:
    """Own the queue of one service at one entry.

    Answers two loads. While targets have room, a request is placed at
    once. Above that, those that can still be on time go first, and a
    request whose turn is not expected within its wait is refused on
    arrival, with a time to return that spreads callers out.

    While no target is in service, such as a group of engines that forms
    anew, requests that come for the first time are refused, to return when
    the group may be back; those that have returned wait for it. While all
    targets have asked for a pause, a request that can't wait for the end of
    the first one is refused, to return then.
    """

    def __init__(self, *, pool, draw):
        self._pool = pool
        self._draw = draw
        self._queue = []
        self._sequence = 0
        self._hold_s = None

    @property
    def queue_length(self):
        """Return how many requests wait for a target."""
        return len(self._queue)

    @property
    def pool(self):
        """Return the targets of the service."""
        return self._pool

    def apply(self, event, *, now_s):
        """Take in an event and return the decisions that follow from it."""
        return tuple(self._apply(event, now_s))

    @functools.singledispatchmethod
    def _apply(self, event, now_s):
        raise exceptions.UnknownEvent(event=event)

    @_apply.register
    def _(self, event: events.TargetsChanged, now_s):
        self._pool.replace_targets(event.targets, now_s=now_s)
        return self._pump(now_s)

    @_apply.register
    def _(self, event: events.PeerReported, now_s):
        self._pool.note_peer(event.peer_id, event.requests_by_target_id)
        return self._pump(now_s)

    @_apply.register
    def _(self, event: events.PeerLost, now_s):
        self._pool.drop_peer(event.peer_id)
        return self._pump(now_s)

    @_apply.register
    def _(self, event: events.TryEnded, now_s):
        self._pool.release(event, now_s=now_s)
        self._note_hold(event.held_s)
        return self._pump(now_s)

    @_apply.register
    def _(self, event: events.TargetLeaving, now_s):
        self._pool.notices.note_leaving(event.target, now_s=now_s)
        return ()

    @_apply.register
    def _(self, event: events.TargetPaused, now_s):
        self._pool.notices.note_pause(
            event.target, pause_s=event.pause_s, now_s=now_s
        )
        return self._pump(now_s)

    @_apply.register
    def _(self, event: events.LeavingHinted, now_s):
        self._pool.notices.note_hints(event.hints, now_s=now_s)
        return ()

    @_apply.register
    def _(self, event: events.Ticked, now_s):
        return self._pump(now_s)

    @_apply.register
    def _(self, event: events.RequestWithdrawn, now_s):
        self._queue = [
            x for x in self._queue if x.arrival.request_id != event.request_id
        ]
        return ()

    @_apply.register
    def _(self, event: events.RepeatAsked, now_s):
        target = self._pool.choose(
            now_s=now_s,
            regions=event.regions,
            excluded=event.tried_target_ids,
            withheld_releases=event.withheld_releases,
        )
        if target is None:
            return [self._refuse(event, _Reason.NO_OTHER_TARGET)]
        return [self._place(event.request_id, target, now_s)]

    @_apply.register
    def _(self, event: events.RequestArrived, now_s):
        if not self._pool.serves(
            regions=event.regions, withheld_releases=event.withheld_releases
        ):
            return self._wait_for_service(event, now_s)
        waiting = self._enqueue(event, now_s)
        made = self._pump(now_s)
        if waiting in self._queue and self._is_hopeless(waiting, now_s):
            self._queue.remove(waiting)
            made.append(self._refuse(event, _Reason.QUEUE_TOO_LONG))
        return made

    def _wait_for_service(self, event, now_s):
        if event.is_on_time or not self._pool.lists(regions=event.regions):
            return [self._refuse(event, _Reason.NO_TARGET)]
        self._enqueue(event, now_s)
        return ()

    def _enqueue(self, event, now_s):
        self._sequence += 1
        rank = (not event.is_on_time, event.priority, self._sequence)
        waiting = _Waiting(rank=rank, arrival=event)
        bisect.insort(self._queue, waiting, key=lambda x: x.rank)
        return waiting

    def _pump(self, now_s):
        """Refuse what has waited too long and place what finds room."""
        made = []
        left = []
        for waiting in self._queue:
            arrival = waiting.arrival
            if now_s >= arrival.wait_until_s:
                made.append(self._refuse(arrival, _Reason.WAITED_TOO_LONG))
                continue
            target = self._pool.choose(
                now_s=now_s,
                regions=arrival.regions,
                withheld_releases=arrival.withheld_releases,
            )
            if target is None and self._outlasts_wait(arrival, now_s):
                made.append(self._refuse_paused(arrival, now_s))
                continue
            if target is None:
                left.append(waiting)
                continue
            made.append(self._place(arrival.request_id, target, now_s))
        self._queue = left
        return made

    def _place(self, request_id, target, now_s):
        in_flight = self._pool.in_flight(target.target_id)
        self._pool.take(target.target_id, now_s=now_s)
        return decisions.Place(
            request_id=request_id, target=target, in_flight=in_flight
        )

    def _outlasts_wait(self, arrival, now_s):
        """Return whether all targets pause for longer than a request waits."""
        end_s = self._pause_end_s(arrival, now_s)
        return end_s is not None and end_s >= arrival.wait_until_s

    def _pause_end_s(self, arrival, now_s):
        return self._pool.all_paused_until_s(
            now_s=now_s,
            regions=arrival.regions,
            withheld_releases=arrival.withheld_releases,
        )

    def _refuse_paused(self, arrival, now_s):
        left_s = self._pause_end_s(arrival, now_s) - now_s
        return decisions.Refuse(
            request_id=arrival.request_id,
            reason=_Reason.ALL_PAUSED,
            retry_after_s=left_s + self._draw() * conf.PAUSE_RETURN_SPREAD_S,
        )

    def _is_hopeless(self, waiting, now_s):
        """Return whether the queue moves too slowly for this request.

        Each of this entry's requests in flight frees a place after the
        usual time that a try holds one.
        """
        if self._hold_s is None:
            return False
        position = self._queue.index(waiting) + 1
        in_flight = max(sum(self._pool.own_in_flight().values()), 1)
        expected_wait_s = position * self._hold_s / in_flight
        return now_s + expected_wait_s > waiting.arrival.wait_until_s

    def _note_hold(self, held_s):
        if held_s is None:
            return
        if self._hold_s is None:
            self._hold_s = held_s
        self._hold_s += conf.RESULT_WEIGHT * (held_s - self._hold_s)

    def _refuse(self, event, reason):
        choose_return_s = returns.choose_return_s
        if reason is _Reason.NO_TARGET:
            choose_return_s = returns.choose_return_after_outage_s
        return decisions.Refuse(
            request_id=event.request_id,
            reason=reason,
            retry_after_s=choose_return_s(
                time_left_s=event.time_left_s, draw=self._draw
            ),
        )
