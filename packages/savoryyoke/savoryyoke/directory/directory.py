"""Answer callers with the entries they should use."""

import functools

from savoryyoke.directory import conf
from savoryyoke.directory import contacts
from savoryyoke.directory import decisions
from savoryyoke.directory import entries
from savoryyoke.directory import events
from savoryyoke.directory import exceptions
from savoryyoke.directory import views


class Directory:
    """Know the entries of the fleet as one entry sees them.

    Events change the state through `apply`; times are monotonic seconds.
    """

    def __init__(self, *, entry_id, data_centre, settings=None):
        self._entry_id = entry_id
        self._data_centre = data_centre
        self._settings = settings or conf.DirectorySettings()
        self._states_by_id = {}
        self._ended_by_id = {}
        self._out = set()
        self._contacts = contacts.ContactMonitor(settings=self._settings)
        self._cut_off = None
        self._view = None

    def answer(self, caller, now_s, *, bindings_by_service=None):
        """Return an `Answer`, or `CutOff` where this entry suspects itself.

        ``bindings_by_service`` are the routers' bindings; the answer lives
        no longer than the shortest of them.
        """
        view = self._get_view(now_s=now_s)
        reason = self._judge(now_s=now_s)
        chosen = ()
        if reason is None:
            chosen = self._rank(view.named, caller)
            reason = decisions.CutOffReason.ISOLATED
        if not chosen:
            return self._refer_elsewhere(view, caller, reason=reason)
        return decisions.Answer(
            entries=tuple(state.describe() for state in chosen),
            lifetime_s=self._limit_lifetime(bindings_by_service or {}),
            bindings_by_service=bindings_by_service or {},
        )

    def _limit_lifetime(self, bindings_by_service):
        lifetimes_s = [
            binding.lifetime_s
            for bindings in bindings_by_service.values()
            for binding in bindings
        ]
        return min([self._settings.lifetime_s, *lifetimes_s])

    def _rank(self, ranked, caller):
        """Return states, those of the caller's data centre first."""
        put_last = None
        if caller.data_centre is not None:
            put_last = ranked.flag(
                data_centre=caller.data_centre,
                lowest_weight=min(self._settings.load_weights),
            )
        return ranked.rank(
            identity=caller.identity,
            count=self._settings.addresses_count,
            put_last=put_last,
        )

    def _refer_elsewhere(self, view, caller, *, reason):
        # Entries of this data centre are likely to be cut off as well.
        put_last = ~view.others.flag(data_centre=self._data_centre)
        chosen = view.others.rank(
            identity=caller.identity,
            count=self._settings.addresses_count,
            put_last=put_last,
        )
        return decisions.CutOff(
            reason=reason,
            alternatives=tuple(state.describe() for state in chosen),
            retry_after_s=self._settings.retry_after_s,
        )

    def _get_view(self, *, now_s):
        """Return the entries to name, renewed by ticks and changes."""
        if self._view is None:
            self._view = views.make_view(
                tuple(self._states_by_id.values()),
                entry_id=self._entry_id,
                out=self._out,
                is_heard=lambda state: self._is_heard(state, now_s=now_s),
            )
        return self._view

    def _is_heard(self, state, *, now_s):
        if state.entry_id == self._entry_id:
            return True
        return self._contacts.counts_as_heard(state.heard_at_s, now_s=now_s)

    def _judge(self, *, now_s):
        view = self._get_view(now_s=now_s)
        return self._contacts.judge(
            peers_heard=view.peers_heard,
            peers_expected=view.peers_expected,
            now_s=now_s,
        )

    @functools.singledispatchmethod
    def apply(self, event, *, now_s):
        """Take an event; return the decisions that follow from it."""
        raise exceptions.UnknownEvent(event=event)

    @apply.register
    def _(self, event: events.EntrySeen, *, now_s):
        self._forget_ended(now_s=now_s)
        known = self._states_by_id.get(event.entry_id)
        ended = self._ended_by_id.get(event.entry_id)
        if ended is not None and event.incarnation < ended.incarnation:
            return _reject(event, decisions.RejectionReason.OLD_INCARNATION)
        if known is not None and event.incarnation < known.incarnation:
            return _reject(event, decisions.RejectionReason.OLD_INCARNATION)
        if known is None or event.incarnation > known.incarnation:
            state = entries.EntryState(seen=event, settings=self._settings)
            if ended is not None and event.incarnation == ended.incarnation:
                state.leaving = ended.leaving
            self._states_by_id[event.entry_id] = state
            self._view = None
        return ()

    @apply.register
    def _(self, event: events.EntryLeaving, *, now_s):
        state, rejection = self._find(event)
        if state is not None:
            state.leaving = True
            self._view = None
        return rejection

    @apply.register
    def _(self, event: events.EntryGone, *, now_s):
        state, rejection = self._find(event)
        if state is not None:
            self._ended_by_id.pop(event.entry_id, None)
            self._ended_by_id[event.entry_id] = entries.EndedEntry(
                incarnation=state.incarnation,
                leaving=state.leaving,
                until_s=now_s + self._settings.tombstone_lifetime_s,
            )
            del self._states_by_id[event.entry_id]
            self._view = None
        return rejection

    @apply.register
    def _(self, event: events.EntryHeard, *, now_s):
        state, rejection = self._find(event)
        if state is None:
            return rejection
        before = (state.weight, self._is_heard(state, now_s=now_s))
        reason = state.hear(event, now_s=now_s)
        if reason is not None:
            return _reject(event, reason)
        if before != (state.weight, self._is_heard(state, now_s=now_s)):
            self._view = None
        return ()

    @apply.register
    def _(self, event: events.DataCentreOut, *, now_s):
        self._out.add(event.data_centre)
        self._view = None
        return ()

    @apply.register
    def _(self, event: events.DataCentreIn, *, now_s):
        self._out.discard(event.data_centre)
        self._view = None
        return ()

    @apply.register
    def _(self, event: events.TargetsHeard, *, now_s):
        self._contacts.hear_targets(event, now_s=now_s)
        return ()

    @apply.register
    def _(self, event: events.Ticked, *, now_s):
        self._contacts.tick(now_s=now_s)
        self._view = None
        reason = self._judge(now_s=now_s)
        if reason is self._cut_off:
            return ()
        self._cut_off = reason
        return (decisions.ContactChanged(reason=reason),)

    @apply.register
    def _(self, event: events.DrainStarted, *, now_s):
        own = self._states_by_id.get(self._entry_id)
        if own is not None:
            own.leaving = True
            self._view = None
        # Other entries name this one until they have heard of its leaving,
        # which outlasts each answer that this one has given.
        complete_s = (
            now_s
            + self._settings.notice_delay_s
            + self._settings.lifetime_s
            + self._settings.drain_margin_s
        )
        return (decisions.DrainPlanned(drain_complete_at_s=complete_s),)

    def _find(self, event):
        state = self._states_by_id.get(event.entry_id)
        if state is None:
            reason = decisions.RejectionReason.UNKNOWN_ENTRY
        elif event.incarnation < state.incarnation:
            reason = decisions.RejectionReason.OLD_INCARNATION
        elif event.incarnation > state.incarnation:
            reason = decisions.RejectionReason.UNKNOWN_INCARNATION
        else:
            return state, ()
        return None, _reject(event, reason)

    def _forget_ended(self, *, now_s):
        for entry_id, ended in tuple(self._ended_by_id.items()):
            if ended.until_s > now_s:
                break
            del self._ended_by_id[entry_id]


def _reject(event, reason):
    return (
        decisions.EventRejected(
            event_name=type(event).__name__,
            entry_id=event.entry_id,
            reason=reason,
        ),
    )
