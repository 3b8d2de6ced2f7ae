"""Let requests wait for the decisions of placement."""

import dataclasses

import anyio

from savoryyoke.placement import conf as placement_conf
from savoryyoke.placement import decisions
from savoryyoke.placement import dispatcher
from savoryyoke.placement import events
from savoryyoke.placement import models
from savoryyoke.placement import pool
from savoryyoke.placement import retry_times

from savoryyoke_edge import logs


@dataclasses.dataclass(kw_only=True)
class _Waiter:
    decided: anyio.Event
    decision: object = None


class Dispatching:
    """Own the dispatchers of all services of this entry."""

    def __init__(self, *, own_data_centre, draw, clock, metrics, policy=None):
        self._metrics = metrics
        self._own_data_centre = own_data_centre
        self._draw = draw
        self._clock = clock
        self._policy = policy or placement_conf.PlacementPolicy()
        self._dispatchers_by_service = {}
        self._peer_reports_by_id = {}
        self._paces_by_address = {}
        self._waiters_by_id = {}
        self._unusable_pause_ids = set()

    def publish(self, *, services_by_name, targets, entries):
        """Take over services and targets; ``entries`` share cold limits."""
        self._unusable_pause_ids &= {x.target_id for x in targets}
        targets_by_service = {name: [] for name in services_by_name}
        for target in targets:
            targets_by_service.setdefault(target.service_name, []).append(
                target
            )
        for name, listed in targets_by_service.items():
            service = services_by_name.get(name)
            current = self._find_or_create(name, service)
            current.pool.set_cold_rate(_share_cold_rate(service, entries))
            self._apply(current, events.TargetsChanged(targets=tuple(listed)))

    def report_peer(self, *, peer_id, requests_by_target_id):
        """Take over what a peer has in flight."""
        self._peer_reports_by_id[peer_id] = requests_by_target_id
        event = events.PeerReported(
            peer_id=peer_id, requests_by_target_id=requests_by_target_id
        )
        self._apply_to_all(event)

    def lose_peer(self, peer_id):
        """Forget what a peer had in flight."""
        self._peer_reports_by_id.pop(peer_id, None)
        self._apply_to_all(events.PeerLost(peer_id=peer_id))

    def note_head(self, service_name, target, head):
        """Take over what a target's answer says of the target itself."""
        current = self._dispatchers_by_service[service_name]
        notices = current.pool.notices
        if (
            head.unusable_pause is not None
            and target.target_id not in self._unusable_pause_ids
        ):
            self._unusable_pause_ids.add(target.target_id)
            logs.write_event(
                'pause_refused',
                level='warning',
                target=target.target_id,
                value=head.unusable_pause,
                reason='not a number of seconds',
            )
        if head.is_leaving and not notices.is_leaving(target):
            self._apply(current, events.TargetLeaving(target=target))
            self._metrics.count_notice('leaving')
            logs.write_event(
                'target_leaving',
                target=target.target_id,
                incarnation=target.incarnation,
                service=service_name,
                source='answer',
            )
        if head.pause_s is not None:
            self._note_pause(current, target, head.pause_s)

    def _note_pause(self, current, target, pause_s):
        notices = current.pool.notices
        now_s = self._clock()
        before_s = notices.pause_end_s(target, now_s=now_s)
        self._apply(
            current, events.TargetPaused(target=target, pause_s=pause_s)
        )
        end_s = notices.pause_end_s(target, now_s=now_s)
        if end_s == before_s:
            return
        self._metrics.count_notice('paused')
        logs.write_event(
            'target_paused',
            target=target.target_id,
            incarnation=target.incarnation,
            service=target.service_name,
            asked_s=pause_s,
            granted_s=end_s - now_s if end_s is not None else 0.0,
        )

    def leaving_hints(self):
        """Return what the answers of leaving targets said to this entry."""
        return tuple(
            hint
            for current in self._dispatchers_by_service.values()
            for hint in current.pool.notices.hints(now_s=self._clock())
        )[: placement_conf.HINTS_LIMIT]

    def take_in_hints(self, hints):
        """Take over what a peer has heard of leaving targets."""
        if hints:
            self._apply_to_all(events.LeavingHintsReceived(hints=tuple(hints)))

    def set_paces(self, paces_by_address):
        """Take over the paces of slow targets."""
        if paces_by_address == self._paces_by_address:
            return
        logs.write_event(
            'slow_targets_changed',
            targets=','.join(sorted(paces_by_address)),
        )
        self._paces_by_address = paces_by_address
        for current in self._dispatchers_by_service.values():
            current.pool.set_paces(paces_by_address)

    def tick(self):
        """Let time pass in all dispatchers."""
        self._apply_to_all(events.Ticked())

    def own_in_flight(self):
        """Return this entry's requests in flight by target id."""
        counts = {}
        for current in self._dispatchers_by_service.values():
            counts.update(current.pool.own_in_flight())
        return counts

    def queue_length(self):
        """Return how many requests wait at this entry."""
        return sum(
            x.queue_length for x in self._dispatchers_by_service.values()
        )

    async def place(self, service_name, arrival):
        """Return the decision on an arrival, waiting for its turn."""
        current = self._dispatchers_by_service.get(service_name)
        if current is None:
            return self._refuse_unknown(arrival)
        waiter = _Waiter(decided=anyio.Event())
        self._waiters_by_id[arrival.request_id] = waiter
        try:
            self._apply(current, arrival)
            while waiter.decision is None:
                wait_s = arrival.wait_until_s - self._clock()
                with anyio.move_on_after(max(wait_s, 0)):
                    await waiter.decided.wait()
                if waiter.decision is None:
                    self._apply(current, events.Ticked())
            return waiter.decision
        except BaseException:
            self._give_back(current, arrival.request_id, waiter)
            raise
        finally:
            del self._waiters_by_id[arrival.request_id]

    def repeat(self, service_name, event):
        """Return the decision on another target for a request."""
        current = self._dispatchers_by_service[service_name]
        made = current.apply(event, now_s=self._clock())
        return made[0]

    def end_try(self, service_name, event):
        """Report the end of a try at a target."""
        self._apply(self._dispatchers_by_service[service_name], event)

    def give_back(self, service_name, placed):
        """Undo a placement whose request is not sent."""
        self.end_try(service_name, _build_withdrawal(placed))

    def releases(self, service_name):
        """Return the releases that the targets of a service run."""
        current = self._dispatchers_by_service.get(service_name)
        return current.pool.releases() if current else frozenset()

    def holds_group_up(self, service_name, target_id):
        """Return whether a target is slower than most of its group."""
        current = self._dispatchers_by_service[service_name]
        return current.pool.slows_group_down(target_id)

    def _find_or_create(self, name, service):
        is_engine = service is not None and service.slots is not None
        current = self._dispatchers_by_service.get(name)
        if current is None:
            current = dispatcher.Dispatcher(
                pool=pool.TargetPool(
                    policy=self._policy,
                    is_engine=is_engine,
                    own_data_centre=self._own_data_centre,
                    random_fraction=self._draw,
                ),
                random_fraction=self._draw,
            )
            current.pool.set_paces(self._paces_by_address)
            self._dispatchers_by_service[name] = current
            for peer_id, requests in self._peer_reports_by_id.items():
                current.pool.set_peer_requests(peer_id, requests)
        return current

    def _apply_to_all(self, event):
        for current in self._dispatchers_by_service.values():
            self._apply(current, event)

    def _apply(self, current, event):
        for decision in current.apply(event, now_s=self._clock()):
            waiter = self._waiters_by_id[decision.request_id]
            waiter.decision = decision
            waiter.decided.set()

    def _refuse_unknown(self, arrival):
        return decisions.Refuse(
            request_id=arrival.request_id,
            reason=models.RefusalReason.NO_TARGET,
            retry_after_s=retry_times.choose_retry_after_s(
                time_left_s=arrival.time_left_s, random_fraction=self._draw
            ),
        )

    def _give_back(self, current, request_id, waiter):
        """Undo a placement whose request was cancelled meanwhile."""
        if isinstance(waiter.decision, decisions.Place):
            event = _build_withdrawal(waiter.decision)
        else:
            event = events.RequestWithdrawn(request_id=request_id)
        self._apply(current, event)


def _build_withdrawal(placed):
    return events.TryEnded(
        target_id=placed.target.target_id,
        incarnation=placed.target.incarnation,
        result=models.TryResult.WITHDRAWN,
    )


def _share_cold_rate(service, entries):
    if service is None or service.cold_limit is None:
        return None
    total_per_s = service.cold_limit.rate_per_s * placement_conf.COLD_SHARE
    return total_per_s / entries
