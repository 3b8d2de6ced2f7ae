"""Feed the directory of entries and turn its answers into documents."""

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

_STATES_HEARD = frozenset(
    {
        membership_messages.MemberState.ALIVE,
        membership_messages.MemberState.LEAVING,
    }
)


class EntryDirectory:
    """Own what this entry tells callers about the entries.

    ``membership`` says who is heard and ``fleet`` which targets are.
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
        self._rows_by_entry_id = {}
        self._out = frozenset()

    def take_vms(self, vm_list):
        """Follow the platform's list of VMs."""
        rows = {vm.vm_id: vm for vm in vm_list.vms if vm.role == 'entry'}
        for entry_id in set(self._rows_by_entry_id) - set(rows):
            self._feed_entry(events.EntryGone, entry_id)
        self._rows_by_entry_id = rows
        for entry_id, row in rows.items():
            generation, _ = self._generations_by_entry_id.setdefault(
                entry_id, (0, 0)
            )
            self._see(row, generation)
            if row.state == 'leaving':
                self._feed_entry(events.EntryLeaving, entry_id)

    def take_data_centres(self, out):
        """Follow which data centres operators have taken out."""
        for name in sorted(out - self._out):
            self._feed(events.DataCentreOut(data_centre=name))
        for name in sorted(self._out - out):
            self._feed(events.DataCentreIn(data_centre=name))
        self._out = out

    def start_drain(self):
        """Name this entry no more; return when no caller holds its name."""
        (planned,) = self._feed(events.DrainStarted())
        return planned.drain_complete_at_s

    async def run(self, membership):
        """Follow membership until cancelled."""
        while True:
            self._follow(membership)
            await anyio.sleep(conf.DIRECTORY_TICK_S)

    def _follow(self, membership):
        members = {item.vm_id: item for item in membership.members()}
        members[self._entry_id] = membership.record
        for entry_id, row in self._rows_by_entry_id.items():
            member = members.get(entry_id)
            if member is None or not member.incarnation:
                continue
            self._hear(row, member, is_trusted=not membership.is_suspect)
        self._feed(
            events.TargetContactsReported(
                in_contact_count=self._fleet.count_heard(
                    conf.TARGET_SILENCE_S
                ),
                expected_count=self._fleet.links_wanted,
            )
        )
        for change in self._feed(events.Ticked()):
            reason = change.reason.value if change.reason else 'none'
            logs.write_event('contact_changed', cut_off=reason)

    def _hear(self, row, member, *, is_trusted):
        """Pass on what membership says, unless it suspects itself.

        In a large fleet each entry hears each other one but rarely, so it
        is membership that knows who is alive.
        """
        generation, incarnation = self._generations_by_entry_id[row.vm_id]
        if incarnation != member.incarnation:
            generation += 1
            self._generations_by_entry_id[row.vm_id] = (
                generation,
                member.incarnation,
            )
            self._see(row, generation)
        if member.state is membership_messages.MemberState.LEAVING:
            self._feed_entry(events.EntryLeaving, row.vm_id)
        if is_trusted and member.state in _STATES_HEARD:
            self._feed(
                events.EntryMessageReceived(
                    entry_id=row.vm_id,
                    incarnation=generation,
                    stamp_s=self._clock(),
                    load=0.0,
                )
            )

    def _see(self, row, generation):
        self._feed(
            events.EntrySeen(
                entry_id=row.vm_id,
                incarnation=generation,
                data_centre=row.data_centre,
                address=row.address,
            )
        )

    def _feed_entry(self, event_class, entry_id):
        generation, _ = self._generations_by_entry_id[entry_id]
        self._feed(event_class(entry_id=entry_id, incarnation=generation))

    def _feed(self, event):
        return self._directory.apply(event, now_s=self._clock())

    def answer(self, scope, *, team, may_serve, bindings):
        """Return the document for a caller, or a ``Problem``.

        ``may_serve(entry_id)`` tells which entries admit the caller's team,
        and ``bindings`` maps services to the text of a binding.
        """
        answer = self._directory.answer(
            _read_caller(scope, team), self._clock()
        )
        if isinstance(answer, decisions.CutOff):
            return _build_cut_off(answer)
        entries = [
            entry for entry in answer.entries if may_serve(entry.entry_id)
        ]
        return {
            'entries': [
                {'address': entry.address, 'data_centre': entry.data_centre}
                for entry in entries or self._find_serving(may_serve)
            ],
            'lifetime_s': answer.lifetime_s,
            'bindings': bindings,
        }

    def _find_serving(self, may_serve):
        """Return the listed entries that serve a team none of the best do."""
        return [
            row
            for entry_id, row in self._rows_by_entry_id.items()
            if row.state == 'live' and may_serve(entry_id)
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
        detail='this entry hears too little of the fleet; use another',
        retry_after_s=answer.retry_after_s,
        alternatives=addresses,
    )
