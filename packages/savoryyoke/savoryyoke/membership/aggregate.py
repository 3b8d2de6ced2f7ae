"""Detect failed processes with a SWIM-like gossip protocol."""

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
    """Track the state of all other members from one process's view.

    ``incarnation`` is a random non-zero 64-bit number that the process
    generated at its start. ``generator`` is a seeded
    ``numpy.random.Generator``. The process is suspect, and declares no
    member failed, until enough other members have answered its probes.
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
        self._probes = probes.ProbeTracker()
        self._tick_count = 0
        self._is_joining = True

    @property
    def is_suspect(self):
        """Return whether the view of this process may be wrong."""
        return self._health.is_suspect

    @property
    def record(self):
        """Return the ``MemberUpdate`` that describes this process."""
        return self._identity.record

    def member(self, vm_id):
        """Return the latest update of another member, or None."""
        return self._roster.table.get(vm_id)

    def members(self):
        """Return the latest updates of all other members."""
        return tuple(self._roster.table)

    @functools.singledispatchmethod
    def apply(self, event, *, now_s):
        """Process an event and return a tuple of decisions.

        ``now_s`` is a monotonic time in seconds. Raise ``UnknownEvent`` for
        an unsupported event type.
        """
        raise exceptions.UnknownEvent(event=event)

    @apply.register
    def _(self, event: events.MessageReceived, *, now_s):
        emitted = self._detect_pause(now_s, is_tick=False)
        message = event.message
        for update in message.updates:
            if update.vm_id == self.record.vm_id:
                self._refute(update)
            else:
                emitted.extend(
                    self._roster.merge_update(
                        update, now_s=now_s, health=self._health
                    )
                )
        if message.sender_id == self.record.vm_id:
            return tuple(emitted)
        # Without a VM list, members are learnt from any process that sends a
        # message.
        is_unknown = self.member(message.sender_id) is None
        changes, update_to_refute = self._roster.merge_sender(
            message, now_s=now_s, health=self._health
        )
        emitted.extend(changes)
        emitted.extend(self._composer.read_summary(message, event.address))
        emitted.extend(
            self._handle_message(
                message, event.address, update_to_refute, now_s
            )
        )
        if is_unknown and not self._roster.has_list:
            emitted.append(
                self._request_members(message.sender_id, event.address)
            )
        return tuple(emitted)

    @apply.register
    def _(self, event: events.Ticked, *, now_s):
        emitted = self._detect_pause(now_s, is_tick=True)
        self._tick_count += 1
        if not self._health.is_suspect:
            emitted.extend(self._detect_isolation(now_s))
        emitted.extend(self._report_overdue_relays(now_s))
        emitted.extend(self._expire_probes(now_s))
        emitted.extend(self._request_relays(now_s))
        if not self._health.is_suspect:
            emitted.extend(
                self._roster.fail_overdue(now_s=now_s, health=self._health)
            )
        emitted.extend(self._probe_all(self._schedule.choose_next(), now_s))
        if self._tick_count % self._settings.gone_ping_ticks == 0:
            self._roster.remove_expired(now_s=now_s)
            emitted.extend(self._notify_gone_member())
        emitted.extend(self._confirm(now_s))
        return tuple(emitted)

    @apply.register
    def _(self, event: events.VmListRead, *, now_s):
        return self._roster.apply_list(event, now_s=now_s)

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

    def _detect_pause(self, now_s, *, is_tick):
        if not self._health.detect_pause(now_s=now_s, is_tick=is_tick):
            return []
        # Answers that were buffered during the pause do not show the current
        # state of their senders.
        self._probes.clear()
        emitted = self._suspect('paused', now_s)
        chosen_ids = self._schedule.choose_after_pause(
            self._roster.suspected_ids()
        )
        emitted.extend(self._probe_all(chosen_ids, now_s))
        return emitted

    def _detect_isolation(self, now_s):
        has_peers = self._roster.table.reachable_count > 0
        if not has_peers or not self._health.detect_isolation(now_s=now_s):
            return []
        return self._suspect('isolated', now_s)

    def _suspect(self, reason, now_s):
        was_suspect = self._health.is_suspect
        self._health.suspect()
        self._roster.restart_deadlines(now_s=now_s, health=self._health)
        if was_suspect:
            return []
        return [decisions.SelfSuspected(reason=reason)]

    def _confirm(self, now_s):
        peer_count = self._roster.table.reachable_count
        if not peer_count and not self._roster.has_list:
            return []
        if not self._health.confirm(peer_count=peer_count, now_s=now_s):
            return []
        self._is_joining = False
        self._roster.restart_deadlines(now_s=now_s, health=self._health)
        return [decisions.SelfConfirmed()]

    def _refute(self, update):
        if not self._identity.refute(update):
            return
        if update.incarnation == self.record.incarnation:
            self._health.raise_score()
        self._queue_record()

    def _announce(self, state):
        if self._identity.announce(state):
            self._queue_record()

    def _queue_record(self):
        self._queue.add(
            self.record, transmissions=self._roster.transmissions()
        )

    @functools.singledispatchmethod
    def _handle_message(self, message, address, update_to_refute, now_s):
        raise exceptions.UnknownEvent(event=message)

    @_handle_message.register
    def _(self, message: messages.Ping, address, update_to_refute, now_s):
        leading_updates = [update_to_refute] if update_to_refute else []
        if message.joining:
            leading_updates.append(self.record)
            leading_updates.extend(
                self._roster.choose_sample(message.sender_id)
            )
        fields = self._composer.compose(
            record=self.record,
            leading_updates=leading_updates,
            includes_summary=message.joining,
        )
        answer = messages.Ack(
            sequence=message.sequence,
            subject_id=self.record.vm_id,
            **fields,
        )
        return (decisions.Send(address=address, message=answer),)

    @_handle_message.register
    def _(
        self, message: messages.PingRequest, address, update_to_refute, now_s
    ):
        sequence = self._probes.open_relay(
            request=message, address=address, now_s=now_s
        )
        return (
            self._ping(
                vm_id=message.subject_id,
                address=message.subject_address,
                sequence=sequence,
                skips_queue=True,
            ),
        )

    @_handle_message.register
    def _(self, message: messages.Ack, address, update_to_refute, now_s):
        emitted = []
        if message.sender_id == message.subject_id:
            emitted.extend(self._forward_ack(message))
        if self._match_probe(message):
            self._health.acknowledge(vm_id=message.sender_id, now_s=now_s)
            if message.reached:
                self._roster.restart_deadline(
                    message.subject_id, now_s=now_s, health=self._health
                )
        if update_to_refute:
            emitted.append(
                self._ping(vm_id=message.sender_id, address=address)
            )
        emitted.extend(self._confirm(now_s))
        return emitted

    def _match_probe(self, message):
        probe_fields = {
            'sequence': message.sequence,
            'subject_id': message.subject_id,
        }
        if message.reached:
            return self._probes.close_probe(**probe_fields)
        return self._probes.record_unreached(**probe_fields)

    def _forward_ack(self, message):
        relay = self._probes.close_relay(
            sequence=message.sequence, subject_id=message.subject_id
        )
        return () if relay is None else (self._answer_relay(relay, True),)

    def _report_overdue_relays(self, now_s):
        sent_before_s = now_s - self._settings.relay_timeout_s
        return [
            self._answer_relay(relay, False)
            for relay in self._probes.remove_overdue_relays(
                sent_before_s=sent_before_s
            )
        ]

    def _answer_relay(self, relay, is_reached):
        answer = messages.Ack(
            sequence=relay.origin_sequence,
            subject_id=relay.subject_id,
            reached=is_reached,
            **self._composer.compose(record=self.record, skips_queue=True),
        )
        return decisions.Send(address=relay.origin_address, message=answer)

    def _expire_probes(self, now_s):
        timeout_s = (
            self._settings.probe_timeout_s * self._health.timeout_factor
        )
        overdue = self._probes.remove_overdue_probes(
            sent_before_s=now_s - timeout_s
        )
        emitted = []
        for probe, are_relays_silent in overdue:
            if are_relays_silent:
                self._health.raise_score()
            if self._health.is_suspect:
                continue
            vm_id = probe.subject_id
            suspected = self._roster.suspect_member(
                vm_id, now_s=now_s, health=self._health
            )
            if suspected:
                emitted.extend(suspected)
                emitted.append(self._notify(vm_id))
        return emitted

    def _request_relays(self, now_s):
        timeout_s = (
            self._settings.direct_timeout_s * self._health.timeout_factor
        )
        unrelayed = self._probes.find_unrelayed(
            sent_before_s=now_s - timeout_s
        )
        emitted = []
        for sequence, probe in unrelayed:
            subject = self._roster.table.get(probe.subject_id)
            if subject is None:
                continue
            relay_ids = self._roster.table.choose_answering(
                count=self._settings.relay_count,
                excluded_ids=(probe.subject_id,),
            )
            self._probes.record_relay_requests(
                sequence=sequence, count=len(relay_ids)
            )
            for relay_id in relay_ids:
                emitted.append(
                    self._request_relay(relay_id, sequence, subject)
                )
        return emitted

    def _request_relay(self, relay_id, sequence, subject):
        request = messages.PingRequest(
            sequence=sequence,
            subject_id=subject.vm_id,
            subject_address=subject.address,
            **self._composer.compose(record=self.record, skips_queue=True),
        )
        relay = self._roster.table.get(relay_id)
        return decisions.Send(address=relay.address, message=request)

    def _probe_all(self, vm_ids, now_s):
        return [self._probe(vm_id, now_s) for vm_id in vm_ids]

    def _probe(self, vm_id, now_s):
        sequence = self._probes.open_probe(subject_id=vm_id, now_s=now_s)
        address = self._roster.table.get(vm_id).address
        return self._ping(vm_id=vm_id, address=address, sequence=sequence)

    def _notify_gone_member(self):
        return [
            self._notify(vm_id)
            for vm_id in self._roster.table.choose_gone(count=1)
        ]

    def _broadcast(self):
        chosen_ids = self._roster.table.choose_random(
            count=2 * self._settings.relay_count
        )
        return tuple(self._notify(vm_id) for vm_id in chosen_ids)

    def _notify(self, vm_id):
        return self._ping(vm_id=vm_id, address=self.member(vm_id).address)

    def _ping(self, *, vm_id, address, sequence=None, skips_queue=False):
        leading_updates = []
        recipient = self._roster.table.get(vm_id)
        if (
            recipient is not None
            and recipient.state not in members.ANSWERING_STATES
        ):
            leading_updates.append(members.without_profile(recipient))
        if self._is_joining:
            leading_updates.append(self.record)
        message = messages.Ping(
            sequence=sequence or self._probes.next_sequence(),
            joining=self._is_joining,
            **self._composer.compose(
                record=self.record,
                leading_updates=leading_updates,
                skips_queue=skips_queue,
            ),
        )
        return decisions.Send(address=address, message=message)

    def _request_members(self, vm_id, address):
        """Return a ping that requests the members of an unknown process."""
        message = messages.Ping(
            sequence=self._probes.next_sequence(),
            joining=True,
            **self._composer.compose(
                record=self.record, leading_updates=[self.record]
            ),
        )
        return decisions.Send(address=address, message=message)
