"""Detect failures among the processes of the fleet."""

import functools

from savoryyoke.membership import composer
from savoryyoke.membership import conf
from savoryyoke.membership import decisions
from savoryyoke.membership import dissemination
from savoryyoke.membership import events
from savoryyoke.membership import exceptions
from savoryyoke.membership import health
from savoryyoke.membership import identity
from savoryyoke.membership import members
from savoryyoke.membership import messages
from savoryyoke.membership import probes
from savoryyoke.membership import roster
from savoryyoke.membership import schedule

MemberState = messages.MemberState


class Membership:
    """Hold one process's view of which processes are alive.

    ``incarnation`` is a random non-zero 64-bit number that the process drew
    at its start. ``generator`` is a seeded ``numpy.random.Generator``. Until
    other members have answered, the process suspects itself: it declares
    nobody failed.
    """

    def __init__(
        self,
        *,
        vm_id,
        role,
        data_centre,
        address,
        incarnation,
        generator,
        settings=conf.DEFAULTS,
    ):
        self._settings = settings
        self._identity = identity.LocalRecord(
            record=messages.MemberUpdate(
                vm_id=vm_id,
                incarnation=incarnation,
                refutation=0,
                state=MemberState.ALIVE,
                role=role,
                data_centre=data_centre,
                address=address,
            )
        )
        self._queue = dissemination.UpdateQueue(
            limit_bytes=settings.updates_limit_bytes
        )
        self._composer = composer.MessageComposer(
            settings=settings, queue=self._queue
        )
        self._roster = roster.Roster(
            vm_id=vm_id,
            generator=generator,
            queue=self._queue,
            settings=settings,
        )
        self._schedule = schedule.ProbeSchedule(
            table=self._roster.table, queue=self._queue, settings=settings
        )
        self._health = health.LocalHealth(settings=settings)
        self._ledger = probes.ProbeLedger()
        self._ticks = 0
        self._is_joining = True

    @property
    def is_suspect(self):
        """Return whether this process cannot trust its own view."""
        return self._health.is_suspect

    @property
    def record(self):
        """Return what this process says of itself."""
        return self._identity.record

    def member(self, vm_id):
        """Return the latest update of another member, or None."""
        return self._roster.table.get(vm_id)

    def members(self):
        """Return the latest updates of all other members."""
        return tuple(self._roster.table)

    @functools.singledispatchmethod
    def apply(self, event, *, now_s):
        """Take in an event at a monotonic time; return the decisions.

        Raise UnknownEvent for other events.
        """
        raise exceptions.UnknownEvent(event=event)

    @apply.register
    def _(self, event: events.MessageReceived, *, now_s):
        made = self._find_gap(now_s, is_tick=False)
        message = event.message
        for update in message.updates:
            if update.vm_id == self.record.vm_id:
                self._defend(update)
            else:
                made.extend(
                    self._roster.merge(
                        update, now_s=now_s, health=self._health
                    )
                )
        if message.sender_id == self.record.vm_id:
            return tuple(made)
        # A process that started without a list asks whoever reaches it.
        is_unknown = self.member(message.sender_id) is None
        changes, correction = self._roster.merge_sender(
            message, now_s=now_s, health=self._health
        )
        made.extend(changes)
        made.extend(self._composer.read(message, event.address))
        made.extend(self._answer(message, event.address, correction, now_s))
        if is_unknown and not self._roster.has_list:
            made.append(self._introduce(message.sender_id, event.address))
        return tuple(made)

    @apply.register
    def _(self, event: events.Ticked, *, now_s):
        made = self._find_gap(now_s, is_tick=True)
        self._ticks += 1
        if not self._health.is_suspect:
            made.extend(self._find_silence(now_s))
        made.extend(self._report_unreached(now_s))
        made.extend(self._fail_probes(now_s))
        made.extend(self._ask_relays(now_s))
        if not self._health.is_suspect:
            made.extend(self._roster.expire(now_s=now_s, health=self._health))
        made.extend(self._probe_all(self._schedule.choose_next(), now_s))
        if self._ticks % self._settings.failed_probe_ticks == 0:
            self._roster.forget(now_s=now_s)
            made.extend(self._probe_gone())
        made.extend(self._confirm(now_s))
        return tuple(made)

    @apply.register
    def _(self, event: events.VmListRead, *, now_s):
        return self._roster.take_list(event, now_s=now_s)

    @apply.register
    def _(self, event: events.VersionsChanged, *, now_s):
        self._composer.set_versions(event.versions)
        return ()

    @apply.register
    def _(self, event: events.AttachmentsChanged, *, now_s):
        self._composer.set_attachments(event.attachments)
        return ()

    @apply.register
    def _(self, event: events.LeaveRequested, *, now_s):
        self._announce(MemberState.LEAVING)
        return self._broadcast()

    @apply.register
    def _(self, event: events.Stopped, *, now_s):
        self._announce(MemberState.LEFT)
        return self._broadcast()

    def _find_gap(self, now_s, *, is_tick):
        if not self._health.find_gap(now_s=now_s, is_tick=is_tick):
            return []
        # Answers that waited in a buffer while this process did not run
        # say nothing about now.
        self._ledger.discard()
        made = self._suspect('paused', now_s)
        chosen = self._schedule.choose_refresh(self._roster.suspected_ids())
        made.extend(self._probe_all(chosen, now_s))
        return made

    def _find_silence(self, now_s):
        has_peers = self._roster.table.reachable_count > 0
        if not has_peers or not self._health.find_silence(now_s=now_s):
            return []
        return self._suspect('isolated', now_s)

    def _suspect(self, reason, now_s):
        was_suspect = self._health.is_suspect
        self._health.suspect()
        self._roster.extend_all(now_s=now_s, health=self._health)
        if was_suspect:
            return []
        return [decisions.SelfSuspected(reason=reason)]

    def _confirm(self, now_s):
        peers = self._roster.table.reachable_count
        if not peers and not self._roster.has_list:
            return []
        if not self._health.confirm(peers=peers, now_s=now_s):
            return []
        self._is_joining = False
        self._roster.extend_all(now_s=now_s, health=self._health)
        return [decisions.SelfConfirmed()]

    def _defend(self, update):
        if not self._identity.defend(update):
            return
        if update.incarnation == self.record.incarnation:
            self._health.worsen()
        self._queue_record()

    def _announce(self, state):
        if self._identity.announce(state):
            self._queue_record()

    def _queue_record(self):
        self._queue.add(
            self.record, transmissions=self._roster.transmissions()
        )

    @functools.singledispatchmethod
    def _answer(self, message, address, correction, now_s):
        raise exceptions.UnknownEvent(event=message)

    @_answer.register
    def _(self, message: messages.Ping, address, correction, now_s):
        first = [correction] if correction else []
        if message.joining:
            first.append(self.record)
            first.extend(self._roster.sample(message.sender_id))
        fields = self._composer.compose(
            record=self.record, first=first, is_full=message.joining
        )
        answer = messages.Ack(
            sequence=message.sequence,
            subject_id=self.record.vm_id,
            **fields,
        )
        return (decisions.Send(address=address, message=answer),)

    @_answer.register
    def _(self, message: messages.PingRequest, address, correction, now_s):
        sequence = self._ledger.open_relay(
            request=message, address=address, now_s=now_s
        )
        return (
            self._ping(
                vm_id=message.subject_id,
                address=message.subject_address,
                sequence=sequence,
                is_bare=True,
            ),
        )

    @_answer.register
    def _(self, message: messages.Ack, address, correction, now_s):
        made = []
        if message.sender_id == message.subject_id:
            made.extend(self._forward(message))
        if self._is_answer(message):
            self._health.acknowledge(vm_id=message.sender_id, now_s=now_s)
            if message.reached:
                self._roster.extend(
                    message.subject_id, now_s=now_s, health=self._health
                )
        if correction:
            made.append(self._ping(vm_id=message.sender_id, address=address))
        made.extend(self._confirm(now_s))
        return made

    def _is_answer(self, message):
        names = {
            'sequence': message.sequence,
            'subject_id': message.subject_id,
        }
        if message.reached:
            return self._ledger.close_probe(**names)
        return self._ledger.note_unreached(**names)

    def _forward(self, message):
        relay = self._ledger.close_relay(
            sequence=message.sequence, subject_id=message.subject_id
        )
        return () if relay is None else (self._report(relay, True),)

    def _report_unreached(self, now_s):
        before_s = now_s - self._settings.relay_timeout_s
        return [
            self._report(relay, False)
            for relay in self._ledger.take_unreached(before_s=before_s)
        ]

    def _report(self, relay, is_reached):
        answer = messages.Ack(
            sequence=relay.origin_sequence,
            subject_id=relay.subject_id,
            reached=is_reached,
            **self._composer.compose(record=self.record, is_bare=True),
        )
        return decisions.Send(address=relay.origin_address, message=answer)

    def _fail_probes(self, now_s):
        timeout_s = self._settings.probe_timeout_s * self._health.factor
        failed = self._ledger.take_failed(before_s=now_s - timeout_s)
        made = []
        for probe, is_unheard in failed:
            if is_unheard:
                self._health.worsen()
            if self._health.is_suspect:
                continue
            vm_id = probe.subject_id
            suspected = self._roster.suspect(
                vm_id, now_s=now_s, health=self._health
            )
            if suspected:
                made.extend(suspected)
                made.append(self._notify(vm_id))
        return made

    def _ask_relays(self, now_s):
        timeout_s = self._settings.direct_timeout_s * self._health.factor
        late = self._ledger.find_late(before_s=now_s - timeout_s)
        made = []
        for sequence, probe in late:
            subject = self._roster.table.get(probe.subject_id)
            if subject is None:
                continue
            relay_ids = self._roster.table.choose_answering(
                count=self._settings.relays, without=(probe.subject_id,)
            )
            self._ledger.note_relays(sequence=sequence, count=len(relay_ids))
            for relay_id in relay_ids:
                made.append(self._ask(relay_id, sequence, subject))
        return made

    def _ask(self, relay_id, sequence, subject):
        request = messages.PingRequest(
            sequence=sequence,
            subject_id=subject.vm_id,
            subject_address=subject.address,
            **self._composer.compose(record=self.record, is_bare=True),
        )
        relay = self._roster.table.get(relay_id)
        return decisions.Send(address=relay.address, message=request)

    def _probe_all(self, vm_ids, now_s):
        return [self._probe(vm_id, now_s) for vm_id in vm_ids]

    def _probe(self, vm_id, now_s):
        sequence = self._ledger.open_probe(subject_id=vm_id, now_s=now_s)
        address = self._roster.table.get(vm_id).address
        return self._ping(vm_id=vm_id, address=address, sequence=sequence)

    def _probe_gone(self):
        return [
            self._notify(vm_id)
            for vm_id in self._roster.table.choose_gone(count=1)
        ]

    def _broadcast(self):
        chosen = self._roster.table.choose(count=2 * self._settings.relays)
        return tuple(self._notify(vm_id) for vm_id in chosen)

    def _notify(self, vm_id):
        return self._ping(vm_id=vm_id, address=self.member(vm_id).address)

    def _ping(self, *, vm_id, address, sequence=None, is_bare=False):
        first = []
        known = self._roster.table.get(vm_id)
        if known is not None and known.state not in members.ANSWERING:
            first.append(members.without_profile(known))
        if self._is_joining:
            first.append(self.record)
        message = messages.Ping(
            sequence=sequence or self._ledger.next_sequence(),
            joining=self._is_joining,
            **self._composer.compose(
                record=self.record, first=first, is_bare=is_bare
            ),
        )
        return decisions.Send(address=address, message=message)

    def _introduce(self, vm_id, address):
        """Ask an unknown process what it is and whom it knows."""
        message = messages.Ping(
            sequence=self._ledger.next_sequence(),
            joining=True,
            **self._composer.compose(record=self.record, first=[self.record]),
        )
        return decisions.Send(address=address, message=message)
