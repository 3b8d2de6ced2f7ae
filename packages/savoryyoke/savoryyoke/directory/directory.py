"""Answer callers with the entries that they should use."""

import functools

from savoryyoke.directory import conf
from savoryyoke.directory import contacts
from savoryyoke.directory import decisions
from savoryyoke.directory import entries
from savoryyoke.directory import events
from savoryyoke.directory import exceptions
from savoryyoke.directory import views


class Directory:
    """Track the entries of the fleet, as seen by one entry.

    Events change the state through `apply`; times are monotonic seconds.
    """

    def __init__(self, *, entry_id, data_centre, settings=None):
        self._entry_id = entry_id
        self._data_centre = data_centre
        self._settings = settings or conf.DirectorySettings()
        self._states_by_id = {}
        self._removed_by_id = {}
        self._excluded_data_centres = set()
        self._contacts = contacts.ContactMonitor(settings=self._settings)
        self._cut_off = None
        self._view = None

    def answer(self, caller, now_s, *, bindings_by_service=None):
        """Return an `Answer`, or `CutOff` if this entry lost contact.

        ``bindings_by_service`` are the bindings of the routers; they limit
        the lifetime of the answer to the shortest of theirs.
        """
        view = self._get_view(now_s=now_s)
        reason = self._find_cut_off_reason(now_s=now_s)
        chosen_states = ()
        if reason is None:
            chosen_states = self._rank(view.available, caller)
            reason = decisions.CutOffReason.ISOLATED
        if not chosen_states:
            return self._answer_cut_off(view, caller, reason=reason)
        return decisions.Answer(
            entries=tuple(state.describe() for state in chosen_states),
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

    def _rank(self, ranking, caller):
        """Return the preferred states for a caller.

        Entries of the caller's data centre come first unless overloaded.
        """
        put_last = None
        if caller.data_centre is not None:
            put_last = ranking.flag_outside(
                data_centre=caller.data_centre,
                lowest_weight=min(self._settings.load_weights),
            )
        return ranking.rank(
            identity=caller.identity,
            count=self._settings.addresses_count,
            put_last=put_last,
        )

    def _answer_cut_off(self, view, caller, *, reason):
        # Other entries of this data centre are likely to be cut off too.
        put_last = ~view.alternatives.flag_outside(
            data_centre=self._data_centre
        )
        chosen_states = view.alternatives.rank(
            identity=caller.identity,
            count=self._settings.addresses_count,
            put_last=put_last,
        )
        return decisions.CutOff(
            reason=reason,
            alternatives=tuple(state.describe() for state in chosen_states),
            retry_after_s=self._settings.retry_after_s,
        )

    def _get_view(self, *, now_s):
        """Return the cached `View`; ticks and changes discard it."""
        if self._view is None:
            self._view = views.make_view(
                tuple(self._states_by_id.values()),
                entry_id=self._entry_id,
                excluded_data_centres=self._excluded_data_centres,
                is_in_contact=lambda state: self._is_in_contact(
                    state, now_s=now_s
                ),
            )
        return self._view

    def _is_in_contact(self, state, *, now_s):
        if state.entry_id == self._entry_id:
            return True
        return self._contacts.is_recent(state.last_message_at_s, now_s=now_s)

    def _find_cut_off_reason(self, *, now_s):
        view = self._get_view(now_s=now_s)
        return self._contacts.find_cut_off_reason(
            peers_in_contact=view.peers_in_contact,
            peers_expected=view.peers_expected,
            now_s=now_s,
        )

    @functools.singledispatchmethod
    def apply(self, event, *, now_s):
        """Update the state with an event; return a tuple of decisions.

        Raises UnknownEvent for other types.
        """
        raise exceptions.UnknownEvent(event=event)

    @apply.register
    def _(self, event: events.EntrySeen, *, now_s):
        self._remove_expired_tombstones(now_s=now_s)
        current = self._states_by_id.get(event.entry_id)
        removed = self._removed_by_id.get(event.entry_id)
        if removed is not None and event.incarnation < removed.incarnation:
            return _reject(event, decisions.RejectionReason.OLD_INCARNATION)
        if current is not None and event.incarnation < current.incarnation:
            return _reject(event, decisions.RejectionReason.OLD_INCARNATION)
        if current is None or event.incarnation > current.incarnation:
            state = entries.EntryState(event=event, settings=self._settings)
            if (
                removed is not None
                and event.incarnation == removed.incarnation
            ):
                state.leaving = removed.leaving
            self._states_by_id[event.entry_id] = state
            self._view = None
        return ()

    @apply.register
    def _(self, event: events.EntryLeaving, *, now_s):
        state, rejection = self._find_state(event)
        if state is not None:
            state.leaving = True
            self._view = None
        return rejection

    @apply.register
    def _(self, event: events.EntryGone, *, now_s):
        state, rejection = self._find_state(event)
        if state is not None:
            self._removed_by_id.pop(event.entry_id, None)
            self._removed_by_id[event.entry_id] = entries.RemovedEntry(
                incarnation=state.incarnation,
                leaving=state.leaving,
                expires_at_s=now_s + self._settings.tombstone_lifetime_s,
            )
            del self._states_by_id[event.entry_id]
            self._view = None
        return rejection

    @apply.register
    def _(self, event: events.EntryMessageReceived, *, now_s):
        state, rejection = self._find_state(event)
        if state is None:
            return rejection
        previous = (state.weight, self._is_in_contact(state, now_s=now_s))
        reason = state.record_message(event, now_s=now_s)
        if reason is not None:
            return _reject(event, reason)
        if previous != (state.weight, self._is_in_contact(state, now_s=now_s)):
            self._view = None
        return ()

    @apply.register
    def _(self, event: events.DataCentreOut, *, now_s):
        self._excluded_data_centres.add(event.data_centre)
        self._view = None
        return ()

    @apply.register
    def _(self, event: events.DataCentreIn, *, now_s):
        self._excluded_data_centres.discard(event.data_centre)
        self._view = None
        return ()

    @apply.register
    def _(self, event: events.TargetContactsReported, *, now_s):
        self._contacts.record_target_contacts(event, now_s=now_s)
        return ()

    @apply.register
    def _(self, event: events.Ticked, *, now_s):
        self._contacts.tick(now_s=now_s)
        self._view = None
        reason = self._find_cut_off_reason(now_s=now_s)
        if reason is self._cut_off:
            return ()
        self._cut_off = reason
        return (decisions.ContactChanged(reason=reason),)

    @apply.register
    def _(self, event: events.DrainStarted, *, now_s):
        own_state = self._states_by_id.get(self._entry_id)
        if own_state is not None:
            own_state.leaving = True
            self._view = None
        # Other entries may return this one until they learn that it is
        # leaving; answers given until then stay valid for their lifetime.
        complete_s = (
            now_s
            + self._settings.notice_delay_s
            + self._settings.lifetime_s
            + self._settings.drain_margin_s
        )
        return (decisions.DrainPlanned(drain_complete_at_s=complete_s),)

    def _find_state(self, event):
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

    def _remove_expired_tombstones(self, *, now_s):
        for entry_id, removed in tuple(self._removed_by_id.items()):
            if removed.expires_at_s > now_s:
                break
            del self._removed_by_id[entry_id]


def _reject(event, reason):
    return (
        decisions.EventRejected(
            event_name=type(event).__name__,
            entry_id=event.entry_id,
            reason=reason,
        ),
    )
