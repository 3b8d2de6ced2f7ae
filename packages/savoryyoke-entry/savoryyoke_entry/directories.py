"""Keep the directory of entries and build its answers to callers."""

import urllib.parse

import anyio

from savoryyoke.directory import conf as directory_conf
from savoryyoke.directory import decisions
from savoryyoke.directory import directory
from savoryyoke.directory import events
from savoryyoke.membership import messages as membership_messages
from savoryyoke_edge import logs
from savoryyoke_edge import problems
from savoryyoke_entry import conf

_STATES_IN_CONTACT = frozenset(
    {
        membership_messages.MemberState.ALIVE,
        membership_messages.MemberState.LEAVING,
    }
)


class EntryDirectory:
    """Answer callers with the entries that they should use.

    ``fleet`` is the ``fleet.Fleet`` that counts the targets in contact.
    """

    def __init__(self, *, settings, clock, fleet):
        self._entry_id = settings.vm_id
        self._clock = clock
        self._fleet = fleet
        self._directory = directory.Directory(
            entry_id=settings.vm_id,
            data_centre=settings.data_centre,
            settings=directory_conf.DirectorySettings(
                lifetime_s=settings.address_lifetime_s
            ),
        )
        self._generations_by_entry_id = {}
        self._vms_by_entry_id = {}
        self._data_centres_out = frozenset()

    def apply_vm_list(self, vm_list):
        """Update the entries from the platform's list of VMs."""
        vms_by_id = {vm.vm_id: vm for vm in vm_list.vms if vm.role == 'entry'}
        for entry_id in set(self._vms_by_entry_id) - set(vms_by_id):
            self._feed_entry(events.EntryGone, entry_id)
        self._vms_by_entry_id = vms_by_id
        for entry_id, vm in vms_by_id.items():
            generation, _ = self._generations_by_entry_id.setdefault(
                entry_id, (0, 0)
            )
            self._add_entry(vm, generation)
            if vm.state == 'leaving':
                self._feed_entry(events.EntryLeaving, entry_id)

    def apply_data_centres_out(self, data_centres_out):
        """Apply the set of data centres that operators took out."""
        for name in sorted(data_centres_out - self._data_centres_out):
            self._feed(events.DataCentreOut(data_centre=name))
        for name in sorted(self._data_centres_out - data_centres_out):
            self._feed(events.DataCentreIn(data_centre=name))
        self._data_centres_out = data_centres_out

    def start_drain(self):
        """Stop listing this entry in answers.

        Return the monotonic time at which the last answer that lists it has
        expired.
        """
        (drain_planned,) = self._feed(events.DrainStarted())
        return drain_planned.drain_complete_at_s

    async def run(self, membership):
        """Update the directory from ``membership`` until cancelled."""
        while True:
            self.apply_membership(membership)
            await anyio.sleep(conf.DIRECTORY_PERIOD_S)

    def apply_membership(self, membership):
        """Apply the states of all entries and the contacts with targets."""
        members = {item.vm_id: item for item in membership.members()}
        members[self._entry_id] = membership.record
        for entry_id, vm in self._vms_by_entry_id.items():
            member = members.get(entry_id)
            if member is None or not member.incarnation:
                continue
            self._record_message(
                vm, member, is_trusted=not membership.is_suspect
            )
        self._report_target_contacts()
        for change in self._feed(events.Ticked()):
            reason = change.reason.value if change.reason else 'none'
            logs.write_event('contact_changed', cut_off=reason)

    def _report_target_contacts(self):
        self._feed(
            events.TargetContactsReported(
                in_contact_count=self._fleet.count_targets_in_contact(
                    conf.TARGET_SILENCE_S
                ),
                expected_count=self._fleet.expected_target_count,
            )
        )

    def _record_message(self, vm, member, *, is_trusted):
        """Apply the membership state of an entry to the directory.

        In a large fleet an entry seldom gets a message from each other
        entry, so membership decides which are alive. ``is_trusted`` is false
        while this entry's own view of the fleet is unreliable.
        """
        generation, incarnation = self._generations_by_entry_id[vm.vm_id]
        if incarnation != member.incarnation:
            generation += 1
            self._generations_by_entry_id[vm.vm_id] = (
                generation,
                member.incarnation,
            )
            self._add_entry(vm, generation)
        if member.state is membership_messages.MemberState.LEAVING:
            self._feed_entry(events.EntryLeaving, vm.vm_id)
        if is_trusted and member.state in _STATES_IN_CONTACT:
            self._feed(
                events.EntryMessageReceived(
                    entry_id=vm.vm_id,
                    incarnation=generation,
                    stamp_s=self._clock(),
                    load=0.0,
                )
            )

    def _add_entry(self, vm, generation):
        self._feed(
            events.EntrySeen(
                entry_id=vm.vm_id,
                incarnation=generation,
                data_centre=vm.data_centre,
                address=vm.address,
            )
        )

    def _feed_entry(self, event_class, entry_id):
        generation, _ = self._generations_by_entry_id[entry_id]
        self._feed(event_class(entry_id=entry_id, incarnation=generation))

    def _feed(self, event):
        return self._directory.apply(event, now_s=self._clock())

    def build_answer(self, scope, *, team, may_serve, bindings):
        """Return the document for a caller, or a ``Problem``.

        ``may_serve(entry_id)`` returns whether an entry admits the caller's
        team, and ``bindings`` maps service names to the text of a binding.
        """
        caller = _read_caller(scope, team)
        answer = self._directory.answer(caller, self._clock())
        if isinstance(answer, decisions.CutOff):
            # Links may have come up since the last report.
            self._report_target_contacts()
            answer = self._directory.answer(caller, self._clock())
        if isinstance(answer, decisions.CutOff):
            return _build_cut_off(answer)
        entries = [
            entry for entry in answer.entries if may_serve(entry.entry_id)
        ]
        return {
            'entries': [
                {'address': entry.address, 'data_centre': entry.data_centre}
                for entry in entries or self._find_serving_entries(may_serve)
            ],
            'lifetime_s': answer.lifetime_s,
            'bindings': bindings,
        }

    def _find_serving_entries(self, may_serve):
        """Return all live entries that admit the caller's team.

        They are used if no entry of the answer admits it.
        """
        return [
            vm
            for entry_id, vm in self._vms_by_entry_id.items()
            if vm.state == 'live' and may_serve(entry_id)
        ]


def _read_caller(scope, team):
    query = urllib.parse.parse_qs(scope['query_string'].decode('latin-1'))
    host = (scope.get('client') or ('', 0))[0]
    return decisions.Caller(
        identity=f'{team}/{host}',
        data_centre=query.get(conf.DATA_CENTRE_PARAMETER, [None])[0],
    )


def _build_cut_off(answer):
    addresses = tuple(entry.address for entry in answer.alternatives)
    return problems.Problem(
        name='cut-off',
        reason=answer.reason.value,
        detail='this entry has lost contact with the fleet; use another',
        retry_after_s=answer.retry_after_s,
        alternatives=addresses,
    )
