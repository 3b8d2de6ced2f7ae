"""Route the requests of one service to its targets."""

import functools

from savoryyoke.routing import bindings
from savoryyoke.routing import calls
from savoryyoke.routing import choices
from savoryyoke.routing import conf
from savoryyoke.routing import decisions
from savoryyoke.routing import draws
from savoryyoke.routing import events
from savoryyoke.routing import exceptions
from savoryyoke.routing import prefixes
from savoryyoke.routing import registry
from savoryyoke.routing import scoring


class Router:
    """Choose targets for the requests of one service in one entry.

    ``generator`` is a seeded ``numpy.random.Generator``. `apply` changes
    the state by events. ``now_s`` is always the monotonic time in seconds.
    """

    def __init__(
        self,
        *,
        service,
        entry_id,
        data_centre,
        generator,
        settings=None,
    ):
        self._service = service
        self._settings = settings or conf.RoutingSettings()
        self._registry = registry.TargetRegistry(
            entry_id=entry_id,
            data_centre=data_centre,
            settings=self._settings,
        )
        self._prefix_index = prefixes.PrefixCacheIndex(settings=self._settings)
        self._random_source = draws.RandomSource(generator=generator)
        self._calls_by_id = {}
        self._summary = None
        self._revision = None

    @property
    def service(self):
        """Return the name of the service."""
        return self._service

    def plan_connections(self):
        """Return which targets to connect to and to disconnect from.

        Call it after targets or peers changed, before the next choice.
        """
        return self._registry.plan_connections()

    def choose(self, request, now_s):
        """Return `Chosen` or `NoTarget` for a request."""
        return self._make_chooser(now_s).choose(request)

    def choose_queue(self, request, now_s):
        """Return `Chosen` for the shortest queue, or `NoTarget`.

        Use it for a request that has waited after `choose` found no target
        with free capacity. It ignores concurrency limits: the target itself
        enforces them and queues or refuses the call.
        """
        return self._make_chooser(now_s).choose_queue(request)

    def _make_chooser(self, now_s):
        return choices.Chooser(
            registry=self._registry,
            prefix_index=self._prefix_index,
            random_source=self._random_source,
            summary=self._get_summary(now_s=now_s),
            settings=self._settings,
            now_s=now_s,
        )

    def bindings(self, now_s):
        """Return bindings for new idempotency keys, the best one first."""
        return bindings.choose_bindings(
            registry=self._registry,
            random_source=self._random_source,
            summary=self._get_summary(now_s=now_s),
            settings=self._settings,
            now_s=now_s,
        )

    def _get_summary(self, *, now_s):
        if self._summary is None:
            self._summary = scoring.summarize(
                self._registry.get_usable(),
                settings=self._settings,
                now_s=now_s,
            )
        return self._summary

    @functools.singledispatchmethod
    def apply(self, event, *, now_s):
        """Update the state with an event; return a tuple of decisions.

        Raises UnknownEvent for other types.
        """
        raise exceptions.UnknownEvent(event=event)

    @apply.register
    def _(self, event: events.TargetSeen, *, now_s):
        state, reason = self._registry.add_target(event, now_s=now_s)
        if reason is not None:
            return _reject(event, event.target_id, reason)
        if state is None:
            return ()
        return self._drop_target_digests(
            event.target_id, reason='new_incarnation'
        )

    @apply.register
    def _(self, event: events.TargetLeaving, *, now_s):
        state, rejection = self._find_state(event)
        if state is None:
            return rejection
        state.leaving = True
        self._refresh()
        return ()

    @apply.register
    def _(self, event: events.TargetGone, *, now_s):
        state, rejection = self._find_state(event)
        if state is None:
            return rejection
        self._registry.remove_target(state, now_s=now_s)
        self._refresh()
        return self._drop_target_digests(event.target_id, reason='target_gone')

    @apply.register
    def _(self, event: events.TargetReachable, *, now_s):
        return self._set_reachable(event, reachable=True)

    @apply.register
    def _(self, event: events.TargetUnreachable, *, now_s):
        return self._set_reachable(event, reachable=False)

    def _set_reachable(self, event, *, reachable):
        state = self._registry.get(event.target_id)
        if state is None:
            reason = decisions.RejectionReason.UNKNOWN_TARGET
            return _reject(event, event.target_id, reason)
        if state.reachable != reachable:
            state.reachable = reachable
            state.discard_report()
            self._refresh()
        return ()

    @apply.register
    def _(self, event: events.LoadReported, *, now_s):
        state, rejection = self._find_state(event)
        if state is None:
            return rejection
        reason = state.accept_report(event, now_s=now_s)
        if reason is not None:
            return _reject(event, event.target_id, reason)
        self._summary = None
        return ()

    @apply.register
    def _(self, event: events.ModelsReported, *, now_s):
        state, rejection = self._find_state(event)
        if state is None:
            return rejection
        reason = state.accept_models(event)
        if reason is not None:
            return _reject(event, event.target_id, reason)
        return ()

    @apply.register
    def _(self, event: events.CacheEventSeen, *, now_s):
        state, rejection = self._find_state(event)
        if state is None:
            return rejection
        target_id = event.target_id
        has_gap = self._prefix_index.apply_sequence(
            target_id=target_id, sequence=event.sequence
        )
        if has_gap is None:
            reason = decisions.RejectionReason.OUT_OF_ORDER
            return _reject(event, target_id, reason)
        dropped = ()
        if event.reset:
            dropped = self._clear_cached_digests(target_id, reason='reset')
        elif has_gap:
            count = self._prefix_index.drop_unconfirmed(
                target_id=target_id, now_s=now_s
            )
            dropped = _report_dropped(target_id, count=count, reason='gap')
        self._prefix_index.remove(target_id=target_id, digests=event.evicted)
        self._prefix_index.add(target_id=target_id, digests=event.added)
        return dropped

    @apply.register
    def _(self, event: events.DataCentreStateChanged, *, now_s):
        if event.state is events.DataCentreState.OUT:
            self._registry.exclude_data_centre(event.data_centre)
            self._refresh()
            return ()
        return self._bring_in(event.data_centre)

    def _bring_in(self, data_centre):
        outcomes = ()
        for state in self._registry.readmit_data_centre(data_centre):
            state.discard_report()
            outcomes += self._clear_cached_digests(
                state.target_id, reason='data_centre_returned'
            )
        self._refresh()
        return outcomes

    @apply.register
    def _(self, event: events.PeersChanged, *, now_s):
        self._registry.set_peers(event.data_centres_by_entry_id)
        return ()

    @apply.register
    def _(self, event: events.ConfigurationApplied, *, now_s):
        if self._revision is not None and event.revision < self._revision:
            reason = decisions.RejectionReason.OLD_REVISION
            return _reject(event, str(event.revision), reason)
        self._revision = event.revision
        self._registry.set_distances(event.distances_s_by_data_centre)
        previously_out = self._registry.data_centres_out
        outcomes = ()
        for data_centre in sorted(previously_out - event.data_centres_out):
            outcomes += self._bring_in(data_centre)
        for data_centre in sorted(event.data_centres_out - previously_out):
            self._registry.exclude_data_centre(data_centre)
        self._refresh()
        return outcomes

    @apply.register
    def _(self, event: events.Dispatched, *, now_s):
        state = self._registry.get(event.target_id)
        if state is None:
            reason = decisions.RejectionReason.UNKNOWN_TARGET
            return _reject(event, event.target_id, reason)
        if event.call_id in self._calls_by_id:
            reason = decisions.RejectionReason.DUPLICATE_CALL
            return _reject(event, event.call_id, reason)
        self._calls_by_id[event.call_id] = calls.start_call(
            event,
            state=state,
            prefix_index=self._prefix_index,
            summary=self._get_summary(now_s=now_s),
            settings=self._settings,
            now_s=now_s,
        )
        state.start_call(event.call_id, cost=event.cost, now_s=now_s)
        return ()

    @apply.register
    def _(self, event: events.FirstToken, *, now_s):
        call, state = self._find_call(event.call_id)
        if call is None:
            return _reject_call(event)
        if state is None:
            return ()
        service_s = max(0.0, event.latency_s - call.predicted_wait_s)
        state.record_first_token(service_s, now_s=now_s)
        if event.cached_digests is not None:
            self._prefix_index.update_confidence(
                target_id=call.target_id,
                expected_count=call.matched_digests,
                found_count=event.cached_digests,
            )
        self._prefix_index.add(
            target_id=call.target_id,
            digests=call.digests,
            answered_at_s=now_s,
        )
        return ()

    @apply.register
    def _(self, event: events.Completed, *, now_s):
        call, state = self._find_call(event.call_id)
        if call is None:
            return _reject_call(event)
        del self._calls_by_id[event.call_id]
        if state is None:
            return ()
        state.end_call(event.call_id)
        if event.outcome is events.Outcome.ANSWERED:
            state.record_answer(
                event.latency_s, token_s=event.token_s, now_s=now_s
            )
        elif event.outcome is events.Outcome.FAILED:
            state.record_failure(now_s=now_s)
        return ()

    @apply.register
    def _(self, event: events.Refused, *, now_s):
        call, state = self._find_call(event.call_id)
        if call is None:
            return _reject_call(event)
        del self._calls_by_id[event.call_id]
        if state is None:
            return ()
        state.end_call(event.call_id)
        state.record_refusal(
            event, team=call.team, priority=call.priority, now_s=now_s
        )
        if state.leaving:
            self._refresh()
        return ()

    def _find_state(self, event):
        state = self._registry.get(event.target_id)
        reason = None
        if state is None:
            reason = decisions.RejectionReason.UNKNOWN_TARGET
        elif event.incarnation < state.incarnation:
            reason = decisions.RejectionReason.OLD_INCARNATION
        elif event.incarnation > state.incarnation:
            reason = decisions.RejectionReason.UNKNOWN_INCARNATION
        if reason is not None:
            return None, _reject(event, event.target_id, reason)
        return state, ()

    def _find_call(self, call_id):
        """Return a call and its target's state.

        Both are None for an unknown call; the state is None if the target's
        incarnation has ended.
        """
        call = self._calls_by_id.get(call_id)
        if call is None:
            return None, None
        state = self._registry.get(call.target_id)
        if state is not None and state.incarnation != call.incarnation:
            state = None
        return call, state

    def _refresh(self):
        self._registry.refresh()
        self._summary = None

    def _drop_target_digests(self, target_id, *, reason):
        self._refresh()
        count = self._prefix_index.drop_target(target_id=target_id)
        return _report_dropped(target_id, count=count, reason=reason)

    def _clear_cached_digests(self, target_id, *, reason):
        count = self._prefix_index.drop(target_id=target_id)
        return _report_dropped(target_id, count=count, reason=reason)


def _report_dropped(target_id, *, count, reason):
    if not count:
        return ()
    return (
        decisions.PrefixDigestsDropped(
            target_id=target_id, count=count, reason=reason
        ),
    )


def _reject(event, subject_id, reason):
    return (
        decisions.EventRejected(
            event_name=type(event).__name__,
            subject_id=subject_id,
            reason=reason,
        ),
    )


def _reject_call(event):
    reason = decisions.RejectionReason.UNKNOWN_CALL
    return _reject(event, event.call_id, reason)
