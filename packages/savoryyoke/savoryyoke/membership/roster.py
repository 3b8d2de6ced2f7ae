"""Merge updates about other members and report the changes."""

import dataclasses
import math

from savoryyoke.membership import decisions
from savoryyoke.membership import members
from savoryyoke.membership import messages
from savoryyoke.membership import vm_lists

MemberState = messages.MemberState


def update_from_entry(entry):
    """Return the initial update of a member that a VM list contains."""
    return messages.MemberUpdate(
        vm_id=entry.vm_id,
        incarnation=0,
        refutation=0,
        state=MemberState.ALIVE,
        role=entry.role,
        data_centre=entry.data_centre,
        address=entry.address,
    )


def describe_join(update):
    """Return the decision that reports a usable member."""
    return decisions.MemberJoined(
        vm_id=update.vm_id,
        incarnation=update.incarnation,
        role=update.role,
        data_centre=update.data_centre,
        address=update.address,
    )


class Roster:
    """Hold all other members and the deadlines of suspected ones.

    Updates are merged by precedence, so that the order in which they arrive
    does not matter.
    """

    def __init__(self, *, vm_id, generator, queue, settings):
        self._vm_id = vm_id
        self._queue = queue
        self._settings = settings
        self._vm_lists = vm_lists.VmListStore(settings=settings)
        self._deadlines_by_id = {}
        self.table = members.MemberTable(vm_id=vm_id, generator=generator)

    @property
    def has_list(self):
        """Return whether a VM list has been accepted."""
        return self._vm_lists.has_list

    def transmissions(self):
        """Return the number of messages that carry one update."""
        rounds = math.ceil(math.log2(len(self.table) + 2))
        return math.ceil(self._settings.retransmit_factor * rounds)

    def merge_update(self, update, *, now_s, health):
        """Merge an update about another member; return the decisions.

        While the local process is suspect, a failure that others report is
        treated as a suspicion.
        """
        previous = self.table.get(update.vm_id)
        if previous is None:
            if (
                not update.address
                or update.state not in members.ANSWERING_STATES
            ):
                return ()
        elif update.precedence() <= previous.precedence():
            self._queue.postpone(update)
            return ()
        else:
            update = _complete_update(update, previous)
        if health.is_suspect and update.state == MemberState.FAILED:
            update = dataclasses.replace(update, state=MemberState.SUSPECT)
            if previous is not None and (
                update.precedence() <= previous.precedence()
            ):
                return ()
        return self._store_update(update, previous, now_s, health)

    def merge_sender(self, message, *, now_s, health):
        """Merge what a message shows about its sender.

        Return the decisions and, if the stored update takes precedence over
        the sender's, that update, which the sender has to refute; else None.
        """
        previous = self.table.get(message.sender_id)
        if previous is None:
            return (), None
        if (
            previous.refutation == message.sender_refutation
            and previous.incarnation == message.sender_incarnation
            and previous.state == message.sender_state
        ):
            return (), None
        update = dataclasses.replace(
            previous,
            incarnation=message.sender_incarnation,
            refutation=message.sender_refutation,
            state=message.sender_state,
        )
        if update.precedence() < previous.precedence():
            return (), members.without_profile(previous)
        return self._store_update(update, previous, now_s, health), None

    def suspect_member(self, vm_id, *, now_s, health):
        """Suspect a member that did not answer a probe."""
        previous = self.table.get(vm_id)
        if previous is None or previous.state not in members.ANSWERING_STATES:
            return ()
        update = dataclasses.replace(previous, state=MemberState.SUSPECT)
        return self._store_update(update, previous, now_s, health)

    def choose_sample(self, joining_id):
        """Return a sample of updates for a joining member."""
        count = self._settings.joining_sample
        answering_ids = self.table.choose_answering(
            count=count, excluded_ids=(joining_id,)
        )
        gone_ids = self.table.choose_gone(count=count)
        return [
            *map(self.table.get, answering_ids),
            *(
                members.without_profile(self.table.get(vm_id))
                for vm_id in gone_ids
            ),
        ]

    def suspected_ids(self):
        """Return the identifiers of members that are currently suspected."""
        return tuple(self._deadlines_by_id)

    def restart_deadline(self, vm_id, *, now_s, health):
        """Restart the deadline of a member if it is suspected."""
        if vm_id in self._deadlines_by_id:
            self._deadlines_by_id[vm_id] = self._deadline_s(now_s, health)

    def restart_deadlines(self, *, now_s, health):
        """Restart the deadlines of all suspected members."""
        deadline_s = self._deadline_s(now_s, health)
        for vm_id in self._deadlines_by_id:
            self._deadlines_by_id[vm_id] = deadline_s

    def fail_overdue(self, *, now_s, health):
        """Declare suspected members failed after their deadline."""
        overdue_ids = [
            vm_id
            for vm_id, deadline_s in self._deadlines_by_id.items()
            if deadline_s <= now_s
        ]
        emitted = []
        for vm_id in overdue_ids:
            previous = self.table.get(vm_id)
            update = dataclasses.replace(previous, state=MemberState.FAILED)
            emitted.extend(self._store_update(update, previous, now_s, health))
        return emitted

    def remove_expired(self, *, now_s):
        """Remove unlisted members that failed or left ``tombstone_s`` ago."""
        gone_before_s = now_s - self._settings.tombstone_s
        for vm_id in self.table.gone_before(time_s=gone_before_s):
            if vm_id not in self._vm_lists:
                self.table.remove(vm_id)

    def apply_list(self, event, *, now_s):
        """Apply a VM list, or reject all of it if it has a fault."""
        faults = self._vm_lists.check(event, table=self.table)
        if faults:
            return (
                decisions.VmListRefused(
                    sequence=event.sequence, faults=faults
                ),
            )
        previous_entries_by_id = self._vm_lists.replace(event)
        emitted = self._add_listed(event.entries, now_s)
        for entry in event.entries:
            previous_entry = previous_entries_by_id.get(entry.vm_id)
            if previous_entry is not entry:
                emitted.extend(
                    self._report_listed_state(entry, previous_entry)
                )
        for vm_id in previous_entries_by_id:
            if vm_id not in self._vm_lists:
                emitted.extend(self._remove_unlisted(vm_id))
        return tuple(emitted)

    def _deadline_s(self, now_s, health):
        return now_s + self._settings.suspicion_s * health.timeout_factor

    def _store_update(self, update, previous, now_s, health):
        vm_id = update.vm_id
        self.table.store(update, now_s=now_s)
        # Other members learn a first incarnation from the messages of its
        # member. Updates about all members would fill every message after a
        # start of the whole fleet.
        is_first_incarnation = (
            previous is not None
            and previous.incarnation == 0
            and update.refutation == 0
            and previous.state == update.state == MemberState.ALIVE
        )
        if not is_first_incarnation:
            self._queue_update(
                update, is_new=not _was_suspected(update, previous)
            )
        if update.state == MemberState.SUSPECT:
            self._deadlines_by_id.setdefault(
                vm_id, self._deadline_s(now_s, health)
            )
        else:
            self._deadlines_by_id.pop(vm_id, None)
        return tuple(self._describe_change(update, previous))

    def _queue_update(self, update, *, is_new):
        transmissions = self.transmissions()
        if not is_new:
            transmissions = self._settings.failure_transmissions
        # Receivers have the profiles of listed members from the VM list and
        # need none of members that are gone.
        if (
            update.vm_id in self._vm_lists
            or update.state in members.GONE_STATES
        ):
            update = members.without_profile(update)
        self._queue.add(update, transmissions=transmissions, is_new=is_new)

    def _describe_change(self, update, previous):
        member_fields = {
            'vm_id': update.vm_id,
            'incarnation': update.incarnation,
        }
        if previous is not None and previous.incarnation == 0:
            if previous.state == update.state != MemberState.ALIVE:
                return
        if _is_restart(update, previous):
            yield decisions.MemberFailed(
                vm_id=previous.vm_id,
                incarnation=previous.incarnation,
                reason='restarted',
            )
        if update.state == MemberState.SUSPECT:
            yield decisions.MemberSuspected(**member_fields)
        elif update.state == MemberState.FAILED:
            yield decisions.MemberFailed(
                **member_fields, reason='unresponsive'
            )
        elif update.state == MemberState.LEFT:
            yield decisions.MemberLeft(**member_fields)
        elif _has_become_usable(update, previous):
            yield describe_join(update)
        if update.state == MemberState.LEAVING or (
            update.state == MemberState.ALIVE
            and self._vm_lists.is_leaving(update.vm_id)
        ):
            yield decisions.MemberLeaving(**member_fields)

    def _add_listed(self, entries, now_s):
        new_updates = []
        for entry in entries:
            member = self.table.get(entry.vm_id)
            if member is None and entry.vm_id != self._vm_id:
                new_updates.append(update_from_entry(entry))
            elif member is not None and member.incarnation == 0:
                if member.address != entry.address:
                    self.table.store(update_from_entry(entry), now_s=now_s)
        self.table.add_reachable(new_updates)
        return [describe_join(update) for update in new_updates]

    def _report_listed_state(self, entry, previous_entry):
        member = self.table.get(entry.vm_id)
        incarnation = member.incarnation if member else 0
        if entry.state == 'leaving':
            if previous_entry is None or previous_entry.state != 'leaving':
                yield decisions.MemberLeaving(
                    vm_id=entry.vm_id, incarnation=incarnation
                )
        elif previous_entry is not None and previous_entry.state == 'leaving':
            if member is not None and member.state == MemberState.ALIVE:
                yield describe_join(member)

    def _remove_unlisted(self, vm_id):
        member = self.table.get(vm_id)
        if member is None:
            return
        if member.state in members.GONE_STATES:
            self.table.remove(vm_id)
        elif member.incarnation == 0:
            self.table.remove(vm_id)
            self._deadlines_by_id.pop(vm_id, None)
            yield decisions.MemberLeft(vm_id=vm_id, incarnation=0)


def _complete_update(update, previous):
    update = members.with_profile(update, previous=previous)
    is_first_incarnation = (
        previous.incarnation == 0 and previous.refutation == update.refutation
    )
    if (
        is_first_incarnation
        and MemberState.ALIVE < update.state < previous.state
    ):
        # The update adds the incarnation; the state found before remains.
        return dataclasses.replace(update, state=previous.state)
    return update


def _is_restart(update, previous):
    return (
        previous is not None
        and previous.state not in members.GONE_STATES
        and previous.incarnation not in (0, update.incarnation)
    )


def _was_suspected(update, previous):
    # Members that received the suspicion declare the failure on their own,
    # so its report needs fewer transmissions.
    return (
        previous is not None
        and previous.incarnation in (0, update.incarnation)
        and previous.state == MemberState.SUSPECT
        and update.state in (MemberState.SUSPECT, MemberState.FAILED)
    )


def _has_become_usable(update, previous):
    return (
        previous is None
        or previous.incarnation != update.incarnation
        or previous.state not in members.ANSWERING_STATES
        or (previous.state > update.state)
    )
