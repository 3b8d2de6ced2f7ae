"""Merge statements about members and report what changes."""

import dataclasses
import math

from savoryyoke.membership import decisions
from savoryyoke.membership import members
from savoryyoke.membership import messages
from savoryyoke.membership import vm_lists

MemberState = messages.MemberState


def presumed_update(entry):
    """Return what a VM list alone lets one assume of a member."""
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
    """Hold all other members and the deadlines of those suspected.

    Statements are merged by precedence, so that the order in which they
    arrive does not matter.
    """

    def __init__(self, *, vm_id, generator, queue, settings):
        self._vm_id = vm_id
        self._queue = queue
        self._settings = settings
        self._lists = vm_lists.VmListKeeper(settings=settings)
        self._deadlines_by_id = {}
        self.table = members.MemberTable(vm_id=vm_id, generator=generator)

    @property
    def has_list(self):
        """Return whether a VM list has been accepted."""
        return self._lists.is_known

    def transmissions(self):
        """Return how many messages of this process carry one update."""
        rounds = math.ceil(math.log2(len(self.table) + 2))
        return math.ceil(self._settings.retransmit_factor * rounds)

    def merge(self, update, *, now_s, health):
        """Take in a statement about another member.

        While the local process suspects itself, a failure that others report
        counts only as a suspicion.
        """
        known = self.table.get(update.vm_id)
        if known is None:
            if not update.address or update.state not in members.ANSWERING:
                return ()
        elif update.precedence() <= known.precedence():
            self._queue.note_repeat(update)
            return ()
        else:
            update = _complete(update, known)
        if health.is_suspect and update.state == MemberState.FAILED:
            update = dataclasses.replace(update, state=MemberState.SUSPECT)
            if known is not None and (
                update.precedence() <= known.precedence()
            ):
                return ()
        return self._accept(update, known, now_s, health)

    def merge_sender(self, message, *, now_s, health):
        """Take in what a message shows of its sender.

        Return the decisions and, where the sender ought to refute what is
        held of it, the update to send it, else None.
        """
        known = self.table.get(message.sender_id)
        if known is None:
            return (), None
        if (
            known.refutation == message.sender_refutation
            and known.incarnation == message.sender_incarnation
            and known.state == message.sender_state
        ):
            return (), None
        update = dataclasses.replace(
            known,
            incarnation=message.sender_incarnation,
            refutation=message.sender_refutation,
            state=message.sender_state,
        )
        if update.precedence() < known.precedence():
            return (), members.without_profile(known)
        return self._accept(update, known, now_s, health), None

    def suspect(self, vm_id, *, now_s, health):
        """Suspect a member that did not answer a probe."""
        known = self.table.get(vm_id)
        if known is None or known.state not in members.ANSWERING:
            return ()
        update = dataclasses.replace(known, state=MemberState.SUSPECT)
        return self._accept(update, known, now_s, health)

    def sample(self, joining_id):
        """Return updates that help a joining member to know the fleet."""
        count = self._settings.joining_sample
        answering = self.table.choose_answering(
            count=count, without=(joining_id,)
        )
        gone = self.table.choose_gone(count=count)
        return [
            *map(self.table.get, answering),
            *(
                members.without_profile(self.table.get(vm_id))
                for vm_id in gone
            ),
        ]

    def suspected_ids(self):
        """Return the members whose time to refute is running."""
        return tuple(self._deadlines_by_id)

    def extend(self, vm_id, *, now_s, health):
        """Give a suspected member that answered the full time to refute."""
        if vm_id in self._deadlines_by_id:
            self._deadlines_by_id[vm_id] = self._deadline_s(now_s, health)

    def extend_all(self, *, now_s, health):
        """Restart the time to refute of all suspected members."""
        deadline_s = self._deadline_s(now_s, health)
        for vm_id in self._deadlines_by_id:
            self._deadlines_by_id[vm_id] = deadline_s

    def expire(self, *, now_s, health):
        """Declare the members failed whose time to refute is over."""
        overdue = [
            vm_id
            for vm_id, deadline_s in self._deadlines_by_id.items()
            if deadline_s <= now_s
        ]
        made = []
        for vm_id in overdue:
            known = self.table.get(vm_id)
            update = dataclasses.replace(known, state=MemberState.FAILED)
            made.extend(self._accept(update, known, now_s, health))
        return made

    def forget(self, *, now_s):
        """Forget members that are long gone and that no list names."""
        before_s = now_s - self._settings.tombstone_s
        for vm_id in self.table.expired(before_s=before_s):
            if vm_id not in self._lists:
                self.table.remove(vm_id)

    def take_list(self, event, *, now_s):
        """Take in a VM list whole, or refuse it whole."""
        faults = self._lists.check(event, table=self.table)
        if faults:
            return (
                decisions.VmListRefused(
                    sequence=event.sequence, faults=faults
                ),
            )
        replaced = self._lists.replace(event)
        made = self._take_new(event.entries, now_s)
        for entry in event.entries:
            before = replaced.get(entry.vm_id)
            if before is not entry:
                made.extend(self._take_state(entry, before))
        for vm_id in replaced:
            if vm_id not in self._lists:
                made.extend(self._take_absence(vm_id))
        return tuple(made)

    def _deadline_s(self, now_s, health):
        return now_s + self._settings.suspicion_s * health.factor

    def _accept(self, update, known, now_s, health):
        vm_id = update.vm_id
        self.table.put(update, now_s=now_s)
        # A first incarnation spreads by contact: after a start of the whole
        # fleet an update for each member would fill every message.
        is_contact = (
            known is not None
            and known.incarnation == 0
            and update.refutation == 0
            and known.state == update.state == MemberState.ALIVE
        )
        if not is_contact:
            self._spread(update, is_news=not _was_accused(update, known))
        if update.state == MemberState.SUSPECT:
            self._deadlines_by_id.setdefault(
                vm_id, self._deadline_s(now_s, health)
            )
        else:
            self._deadlines_by_id.pop(vm_id, None)
        return tuple(self._describe(update, known))

    def _spread(self, update, *, is_news):
        transmissions = self.transmissions()
        if not is_news:
            transmissions = self._settings.failure_transmissions
        # Whoever reads the same VM list needs no profile.
        if update.vm_id in self._lists or update.state in members.GONE:
            update = members.without_profile(update)
        self._queue.add(update, transmissions=transmissions, is_news=is_news)

    def _describe(self, update, known):
        names = {'vm_id': update.vm_id, 'incarnation': update.incarnation}
        if known is not None and known.incarnation == 0:
            if known.state == update.state != MemberState.ALIVE:
                return
        if _is_restart(update, known):
            yield decisions.MemberFailed(
                vm_id=known.vm_id,
                incarnation=known.incarnation,
                reason='restarted',
            )
        if update.state == MemberState.SUSPECT:
            yield decisions.MemberSuspected(**names)
        elif update.state == MemberState.FAILED:
            yield decisions.MemberFailed(**names, reason='unresponsive')
        elif update.state == MemberState.LEFT:
            yield decisions.MemberLeft(**names)
        elif _is_newly_usable(update, known):
            yield describe_join(update)
        if update.state == MemberState.LEAVING or (
            update.state == MemberState.ALIVE
            and self._lists.is_leaving(update.vm_id)
        ):
            yield decisions.MemberLeaving(**names)

    def _take_new(self, entries, now_s):
        added = []
        for entry in entries:
            known = self.table.get(entry.vm_id)
            if known is None and entry.vm_id != self._vm_id:
                added.append(presumed_update(entry))
            elif known is not None and known.incarnation == 0:
                if known.address != entry.address:
                    self.table.put(presumed_update(entry), now_s=now_s)
        self.table.fill(added)
        return [describe_join(update) for update in added]

    def _take_state(self, entry, before):
        known = self.table.get(entry.vm_id)
        incarnation = known.incarnation if known else 0
        if entry.state == 'leaving':
            if before is None or before.state != 'leaving':
                yield decisions.MemberLeaving(
                    vm_id=entry.vm_id, incarnation=incarnation
                )
        elif before is not None and before.state == 'leaving':
            if known is not None and known.state == MemberState.ALIVE:
                yield describe_join(known)

    def _take_absence(self, vm_id):
        known = self.table.get(vm_id)
        if known is None:
            return
        if known.state in members.GONE:
            self.table.remove(vm_id)
        elif known.incarnation == 0:
            self.table.remove(vm_id)
            self._deadlines_by_id.pop(vm_id, None)
            yield decisions.MemberLeft(vm_id=vm_id, incarnation=0)


def _complete(update, known):
    update = members.with_profile(update, known=known)
    is_named = known.incarnation == 0 and known.refutation == update.refutation
    if is_named and MemberState.ALIVE < update.state < known.state:
        # The incarnation has become known; what was found out stays.
        return dataclasses.replace(update, state=known.state)
    return update


def _is_restart(update, known):
    return (
        known is not None
        and known.state not in members.GONE
        and known.incarnation not in (0, update.incarnation)
    )


def _was_accused(update, known):
    # Those who heard of a suspicion time the failure themselves, so that
    # its report need not travel as widely.
    return (
        known is not None
        and known.incarnation in (0, update.incarnation)
        and known.state == MemberState.SUSPECT
        and update.state in (MemberState.SUSPECT, MemberState.FAILED)
    )


def _is_newly_usable(update, known):
    return (
        known is None
        or known.incarnation != update.incarnation
        or known.state not in members.ANSWERING
        or (known.state > update.state)
    )
