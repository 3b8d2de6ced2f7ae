"""Hold requests until the dispatcher of their service decides on them."""

import collections
import dataclasses
import itertools

import anyio

from savoryyoke.placement import conf as placement_conf
from savoryyoke.placement import decisions
from savoryyoke.placement import dispatcher
from savoryyoke.placement import events
from savoryyoke.placement import groups as placement_groups
from savoryyoke.placement import models
from savoryyoke.placement import pool
from savoryyoke.placement import retry_times

from savoryyoke_edge import logs

_NO_REPORTS = placement_groups.GroupReports()


@dataclasses.dataclass(kw_only=True)
class _Waiter:
    """Hold the decision on a request; ``decided`` is set once it is made."""

    decided: anyio.Event
    decision: object = None


class Dispatching:
    """Own the dispatchers of all services of this entry.

    ``random_fraction`` is a function that returns a random number from 0
    to 1, ``clock`` a function that returns the monotonic time in seconds.
    """

    def __init__(
        self, *, own_data_centre, random_fraction, clock, metrics, policy=None
    ):
        self._metrics = metrics
        self._own_data_centre = own_data_centre
        self._random_fraction = random_fraction
        self._clock = clock
        self._policy = policy or placement_conf.PlacementPolicy()
        self._dispatchers_by_service = {}
        self._peer_reports_by_id = {}
        self._paces_by_address = {}
        self._waiters_by_id = {}
        self._refused_target_ids_by_event = collections.defaultdict(set)
        self._rate_report_numbers = itertools.count()

    def update_targets(
        self,
        *,
        services_by_name,
        targets,
        entry_count,
        retired_targets=(),
        terms_by_service=None,
    ):
        """Replace services and targets.

        ``retired_targets`` are those of services that the configuration no
        longer names; they may end the requests that arrived before.
        ``entry_count`` is the number of entries that share the request rate of
        a cold target. ``terms_by_service`` holds the scarcity ``Terms`` of the
        services that have some.
        """
        listed_targets = [
            *targets,
            *(
                target
                for target in retired_targets
                if target.service_name in self._dispatchers_by_service
            ),
        ]
        target_ids = {target.target_id for target in listed_targets}
        for refused_ids in self._refused_target_ids_by_event.values():
            refused_ids.intersection_update(target_ids)
        targets_by_service = {
            name: []
            for name in (*self._dispatchers_by_service, *services_by_name)
        }
        for target in listed_targets:
            targets_by_service.setdefault(target.service_name, []).append(
                target
            )
        for name, service_targets in targets_by_service.items():
            service = services_by_name.get(name)
            service_dispatcher = self._find_or_create(name, service)
            service_dispatcher.pool.set_cold_rate(
                _compute_cold_rate_share(service, entry_count)
            )
            self._set_terms(
                name, service_dispatcher, (terms_by_service or {}).get(name)
            )
            previous_reports = (
                service_dispatcher.pool.groups.reports_by_group()
            )
            self._apply(
                service_dispatcher,
                events.TargetsChanged(targets=tuple(service_targets)),
            )
            self._log_group_reports(
                service_dispatcher, previous_reports, source='published'
            )

    def _log_group_reports(
        self, service_dispatcher, previous_by_group, *, source
    ):
        """Log changes of the published reports that groups are in an outage.

        ``previous_by_group`` holds the ``GroupReports`` of before, by group.
        """
        reports_by_group = service_dispatcher.pool.groups.reports_by_group()
        for group in previous_by_group.keys() | reports_by_group.keys():
            reports = reports_by_group.get(group, _NO_REPORTS)
            previous = previous_by_group.get(group, _NO_REPORTS)
            if (reports.show_outage, reports.refuted) != (
                previous.show_outage,
                previous.refuted,
            ):
                logs.write_event(
                    'group_reports_changed',
                    group=group,
                    shows_outage=reports.show_outage,
                    in_service=reports.in_service,
                    out_of_service=reports.out_of_service,
                    refuted=reports.refuted,
                    source=source,
                )

    def _set_terms(self, name, service_dispatcher, terms):
        service_pool = service_dispatcher.pool
        previous_terms = service_pool.terms
        service_pool.set_terms(terms)
        terms = service_pool.terms
        if terms == previous_terms:
            return
        logs.write_event(
            'scarcity_terms_changed',
            service=name,
            priorities=(
                ','.join(map(str, terms.priorities)) if terms else 'none'
            ),
            pause_limit_s=terms.pause_limit_s if terms else None,
        )

    def record_pause(self, service_name, target, pause_s):
        """Record the pause in seconds between two events of a stream."""
        service_dispatcher = self._dispatchers_by_service[service_name]
        if service_dispatcher.pool.account is not None:
            self._apply(
                service_dispatcher,
                events.PauseMeasured(target=target, pause_s=pause_s),
            )

    def find_urgency(self, call):
        """Return the urgency of a call that targets are told, or None."""
        service_dispatcher = self._dispatchers_by_service[call.service_name]
        account = service_dispatcher.pool.account
        if account is None:
            return None
        return account.find_urgency(
            priority=call.route.priority,
            team_priority=call.team.priority if call.team else None,
        )

    def group_limits(self):
        """Return the lowest limit of a group as a share of its slots."""
        return min(
            (
                service_dispatcher.pool.lowest_limit_share(now_s=self._clock())
                for service_dispatcher in self._dispatchers_by_service.values()
                if service_dispatcher.pool.account is not None
            ),
            default=1.0,
        )

    def set_peer_requests(self, *, peer_id, requests_by_target_id):
        """Replace a peer's requests in flight by target id."""
        self._peer_reports_by_id[peer_id] = requests_by_target_id
        event = events.PeerReported(
            peer_id=peer_id, requests_by_target_id=requests_by_target_id
        )
        now_s = self._clock()
        for service_dispatcher in self._dispatchers_by_service.values():
            if service_dispatcher.queue_length:
                self._apply(service_dispatcher, event)
            else:
                # Without a queue, the event does nothing else. An entry
                # among 64 gets 170 reports per second.
                service_dispatcher.pool.set_peer_requests(
                    peer_id, requests_by_target_id, now_s=now_s
                )

    def remove_peer(self, peer_id):
        """Remove a peer's requests in flight."""
        self._peer_reports_by_id.pop(peer_id, None)
        self._apply_to_all(events.PeerLost(peer_id=peer_id))

    def record_answer_head(self, service_name, target, head, *, asked_s):
        """Apply the notices in the head of a target's answer.

        A target can state there that it is leaving, for how many seconds it
        must get no requests, how many requests per second it takes, or that
        another rank of its group keeps it from serving. The request was sent
        at ``asked_s``.
        """
        service_dispatcher = self._dispatchers_by_service[service_name]
        notices = service_dispatcher.pool.notices
        if head.unusable_pause is not None:
            self._report_refused_value(
                'pause_refused',
                target,
                head.unusable_pause,
                reason='not a number of seconds',
            )
        if head.is_leaving and not notices.is_leaving(target):
            self._apply(
                service_dispatcher, events.TargetLeaving(target=target)
            )
            self._metrics.count_notice('leaving')
            logs.write_event(
                'target_leaving',
                target=target.target_id,
                incarnation=target.incarnation,
                service=service_name,
                source='answer',
            )
        if head.pause_s is not None:
            self._record_pause(service_dispatcher, target, head.pause_s)
        self._record_group_state(
            service_dispatcher, target, head, asked_s=asked_s
        )
        if head.unusable_rate_limit is not None:
            self._report_refused_value(
                'rate_limit_refused',
                target,
                head.unusable_rate_limit,
                reason='not a number of requests per second',
            )
        elif not head.is_misdirected:
            self._record_rate_limit(
                service_dispatcher, target, head, asked_s=asked_s
            )

    def _record_group_state(
        self, service_dispatcher, target, head, *, asked_s
    ):
        """Apply what an answer tells of the group of its target."""
        groups = service_dispatcher.pool.groups
        was_in_doubt = groups.is_in_doubt(target)
        if head.is_refusal and head.at_fault_target_id not in (
            None,
            target.target_id,
        ):
            event = events.GroupRefused(target=target)
        elif head.is_success and was_in_doubt:
            event = events.GroupAnswered(target=target, asked_s=asked_s)
        else:
            return
        previous_reports = groups.reports_by_group()
        self._apply(service_dispatcher, event)
        self._log_group_reports(
            service_dispatcher, previous_reports, source='answer'
        )
        if groups.is_in_doubt(target) != was_in_doubt:
            logs.write_event(
                'group_answered' if was_in_doubt else 'group_refused',
                group=target.group,
                group_epoch=target.group_epoch,
                service=target.service_name,
                target=target.target_id,
                at_fault=head.at_fault_target_id or '',
            )

    def _record_pause(self, service_dispatcher, target, pause_s):
        notices = service_dispatcher.pool.notices
        now_s = self._clock()
        previous_end_s = notices.pause_end_s(target, now_s=now_s)
        self._apply(
            service_dispatcher,
            events.TargetPaused(target=target, pause_s=pause_s),
        )
        end_s = notices.pause_end_s(target, now_s=now_s)
        if end_s == previous_end_s:
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

    def _report_refused_value(self, event_name, target, value, *, reason):
        """Log an unusable value of an answer, once for each target."""
        refused_ids = self._refused_target_ids_by_event[event_name]
        if target.target_id in refused_ids:
            return
        refused_ids.add(target.target_id)
        logs.write_event(
            event_name,
            level='warning',
            target=target.target_id,
            value=value,
            reason=reason,
        )

    def _record_rate_limit(self, service_dispatcher, target, head, *, asked_s):
        limits = service_dispatcher.pool.rate_limits
        if head.rate_limit_per_s is None and (
            head.fault is not None or limits.limit_per_s(target) is None
        ):
            return
        previous_per_s = limits.limit_per_s(target)
        self._apply(
            service_dispatcher,
            events.RateLimitAnswered(
                target=target,
                limit_per_s=head.rate_limit_per_s,
                asked_s=asked_s,
            ),
        )
        self._report_rate_limit(
            service_dispatcher, target, previous_per_s, source='answer'
        )

    def _report_rate_limit(
        self, service_dispatcher, target, previous_per_s, *, source
    ):
        """Log and count a target's rate limit if it has changed."""
        limit_per_s = service_dispatcher.pool.rate_limits.limit_per_s(target)
        if limit_per_s == previous_per_s:
            return
        if previous_per_s is None:
            self._metrics.count_notice('rate-limited')
        logs.write_event(
            'target_rate_limited',
            target=target.target_id,
            incarnation=target.incarnation,
            service=target.service_name,
            limit_per_s=limit_per_s,
            previous_per_s=previous_per_s,
            source=source,
        )

    def set_entry_counts(self, *, known, heard):
        """Set how many entries share the rate limits, and how many are heard.

        Both numbers include this entry.
        """
        for service_dispatcher in self._dispatchers_by_service.values():
            service_dispatcher.pool.rate_limits.set_entry_counts(
                known=known, heard=heard
            )

    def rate_reports(self):
        """Return reports on rate limits for other entries.

        If there are more than ``RATE_REPORTS_LIMIT``, others are returned
        with each call.
        """
        reports = [
            report
            for service_dispatcher in self._dispatchers_by_service.values()
            for report in service_dispatcher.pool.rate_limits.reports(
                now_s=self._clock()
            )
        ]
        limit = placement_conf.RATE_REPORTS_LIMIT
        if len(reports) <= limit:
            return tuple(reports)
        start = next(self._rate_report_numbers) * limit % len(reports)
        return tuple((reports[start:] + reports[:start])[:limit])

    def add_rate_reports(self, reports, *, peer_id, peer_incarnation):
        """Apply a peer's reports on rate limits."""
        if not reports:
            return
        event = events.RateLimitsReported(
            peer_id=peer_id, peer_incarnation=peer_incarnation, reports=reports
        )
        for service_dispatcher in self._dispatchers_by_service.values():
            targets = service_dispatcher.pool.find_targets(reports)
            limits = service_dispatcher.pool.rate_limits
            previous = [limits.limit_per_s(target) for target in targets]
            self._apply(service_dispatcher, event)
            for target, previous_per_s in zip(targets, previous, strict=True):
                self._report_rate_limit(
                    service_dispatcher, target, previous_per_s, source=peer_id
                )

    def rate_limited_count(self):
        """Return how many targets state a rate limit."""
        return sum(
            service_dispatcher.pool.rate_limits.limited_count()
            for service_dispatcher in self._dispatchers_by_service.values()
        )

    def rate_limit_per_s(self, service_name, target):
        """Return the rate limit of a target, or None without one."""
        service_dispatcher = self._dispatchers_by_service[service_name]
        return service_dispatcher.pool.rate_limits.limit_per_s(target)

    def leaving_hints(self):
        """Return hints on targets that stated in an answer that they leave."""
        return tuple(
            hint
            for service_dispatcher in self._dispatchers_by_service.values()
            for hint in service_dispatcher.pool.notices.hints(
                now_s=self._clock()
            )
        )[: placement_conf.HINTS_LIMIT]

    def add_leaving_hints(self, hints):
        """Apply a peer's hints on leaving targets."""
        if hints:
            self._apply_to_all(events.LeavingHintsReceived(hints=tuple(hints)))

    def set_paces(self, paces_by_address):
        """Replace the paces of slow targets, by ``host:port``."""
        if paces_by_address == self._paces_by_address:
            return
        logs.write_event(
            'slow_targets_changed',
            targets=','.join(sorted(paces_by_address)),
        )
        self._paces_by_address = paces_by_address
        for service_dispatcher in self._dispatchers_by_service.values():
            service_dispatcher.pool.set_paces(paces_by_address)

    def tick(self):
        """Make all dispatchers apply what depends on the time."""
        self._apply_to_all(events.Ticked())

    def own_in_flight(self):
        """Return this entry's requests in flight by target id."""
        counts = {}
        for service_dispatcher in self._dispatchers_by_service.values():
            counts.update(service_dispatcher.pool.own_in_flight())
        return counts

    def queue_length(self):
        """Return how many requests at this entry wait for a target."""
        return sum(
            service_dispatcher.queue_length
            for service_dispatcher in self._dispatchers_by_service.values()
        )

    async def place(self, service_name, arrival):
        """Return the decision on a request, waiting until there is one.

        ``arrival`` is a ``RequestArrived`` or ``MoveRequested``.

        If the caller of this method is cancelled, the request is withdrawn.
        """
        service_dispatcher = self._dispatchers_by_service.get(service_name)
        if service_dispatcher is None:
            return self._refuse_unknown(arrival)
        waiter = _Waiter(decided=anyio.Event())
        self._waiters_by_id[arrival.request_id] = waiter
        try:
            self._apply(service_dispatcher, arrival)
            while waiter.decision is None:
                with anyio.move_on_after(self._time_to_next_end_s(arrival)):
                    await waiter.decided.wait()
                if waiter.decision is None:
                    self._apply(service_dispatcher, events.Ticked())
            return waiter.decision
        except BaseException:
            self._withdraw_request(
                service_dispatcher, arrival.request_id, waiter
            )
            raise
        finally:
            del self._waiters_by_id[arrival.request_id]

    def _time_to_next_end_s(self, arrival):
        """Return the seconds until a request's wait may end; 0 if it has."""
        now_s = self._clock()
        return min(
            (end_s - now_s for end_s in arrival.wait_ends_s if end_s > now_s),
            default=0.0,
        )

    def place_retry(self, service_name, event):
        """Return the decision on a further try of a request.

        ``event`` is a ``RetryRequested``; the decision is immediate.
        """
        service_dispatcher = self._dispatchers_by_service[service_name]
        retry_decisions = service_dispatcher.apply(event, now_s=self._clock())
        return retry_decisions[0]

    def choose_retry_after_s(
        self,
        service_name,
        *,
        time_left_s,
        regions=frozenset(),
        withheld_releases=frozenset(),
    ):
        """Return when a caller that no target has served should retry.

        While no target is in service, the time allows for the outage.
        """
        service_dispatcher = self._dispatchers_by_service.get(service_name)
        choose_retry_after_s = retry_times.choose_retry_after_s
        if service_dispatcher is not None and not (
            service_dispatcher.pool.has_usable_target(
                now_s=self._clock(),
                regions=regions,
                withheld_releases=withheld_releases,
            )
        ):
            choose_retry_after_s = retry_times.choose_outage_retry_after_s
        return choose_retry_after_s(
            time_left_s=time_left_s, random_fraction=self._random_fraction
        )

    def record_try_end(self, service_name, event):
        """Apply the ``TryEnded`` event of a try at a target."""
        self._apply(self._dispatchers_by_service[service_name], event)

    def withdraw_placement(self, service_name, placement):
        """Withdraw a placement whose request is not sent."""
        self.record_try_end(service_name, _build_withdrawal(placement))

    def releases(self, service_name):
        """Return the releases that the targets of a service run."""
        service_dispatcher = self._dispatchers_by_service.get(service_name)
        return (
            service_dispatcher.pool.releases()
            if service_dispatcher
            else frozenset()
        )

    def slows_group_down(self, service_name, target_id):
        """Return whether a target slows down its group of engines."""
        service_dispatcher = self._dispatchers_by_service[service_name]
        return service_dispatcher.pool.slows_group_down(target_id)

    def _find_or_create(self, name, service):
        is_engine = service is not None and service.slots is not None
        service_dispatcher = self._dispatchers_by_service.get(name)
        if service_dispatcher is None:
            service_dispatcher = dispatcher.Dispatcher(
                pool=pool.TargetPool(
                    policy=self._policy,
                    is_engine=is_engine,
                    own_data_centre=self._own_data_centre,
                    random_fraction=self._random_fraction,
                ),
                random_fraction=self._random_fraction,
            )
            service_dispatcher.pool.set_paces(self._paces_by_address)
            self._dispatchers_by_service[name] = service_dispatcher
            for peer_id, requests in self._peer_reports_by_id.items():
                service_dispatcher.pool.set_peer_requests(
                    peer_id, requests, now_s=self._clock()
                )
        return service_dispatcher

    def _apply_to_all(self, event):
        for service_dispatcher in self._dispatchers_by_service.values():
            self._apply(service_dispatcher, event)

    def _apply(self, service_dispatcher, event):
        for decision in service_dispatcher.apply(event, now_s=self._clock()):
            waiter = self._waiters_by_id[decision.request_id]
            waiter.decision = decision
            waiter.decided.set()

    def _refuse_unknown(self, arrival):
        return decisions.Refuse(
            request_id=arrival.request_id,
            reason=models.RefusalReason.NO_TARGET,
            retry_after_s=retry_times.choose_retry_after_s(
                time_left_s=arrival.time_left_s,
                random_fraction=self._random_fraction,
            ),
        )

    def _withdraw_request(self, service_dispatcher, request_id, waiter):
        """Withdraw a cancelled request, or its placement if it has one."""
        if isinstance(waiter.decision, decisions.Place):
            event = _build_withdrawal(waiter.decision)
        else:
            event = events.RequestWithdrawn(request_id=request_id)
        self._apply(service_dispatcher, event)


def _build_withdrawal(placement):
    return events.TryEnded(
        target_id=placement.target.target_id,
        incarnation=placement.target.incarnation,
        result=models.TryResult.WITHDRAWN,
    )


def _compute_cold_rate_share(service, entry_count):
    if service is None or service.cold_limit is None:
        return None
    total_per_s = service.cold_limit.rate_per_s * placement_conf.COLD_SHARE
    return total_per_s / entry_count
