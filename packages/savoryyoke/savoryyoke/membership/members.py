"""Store the latest update of each other member."""

import bisect
import dataclasses

import xxhash

from savoryyoke.membership import messages

ANSWERING_STATES = frozenset(
    [messages.MemberState.ALIVE, messages.MemberState.LEAVING]
)
GONE_STATES = frozenset(
    [messages.MemberState.FAILED, messages.MemberState.LEFT]
)


def ring_position(vm_id):
    """Return the position of a member on the hash ring, a 64-bit number.

    It is the same in every process.
    """
    return xxhash.xxh3_64_intdigest(vm_id.encode())


def without_profile(update):
    """Return a copy of an update without role, data centre and address."""
    return dataclasses.replace(update, role='', data_centre='', address='')


def with_profile(update, *, previous):
    """Return an update, completed with the profile of a previous one.

    The profile consists of role, data centre and address.
    """
    if update.address:
        return update
    return dataclasses.replace(
        update,
        role=previous.role,
        data_centre=previous.data_centre,
        address=previous.address,
    )


class MemberTable:
    """Index the latest update of each other member.

    Members that have failed or left are called gone, all others reachable.
    Reachable members form a ring ordered by a hash, so that each member has
    the same few fixed observers in the views of all processes.
    """

    def __init__(self, *, vm_id, generator):
        self._own_position = ring_position(vm_id)
        self._generator = generator
        self._updates_by_id = {}
        self._ring = []
        self._gone_since_s_by_id = {}

    def __iter__(self):
        return iter(self._updates_by_id.values())

    def __len__(self):
        return len(self._updates_by_id)

    @property
    def reachable_count(self):
        """Return how many members are neither failed nor left."""
        return len(self._ring)

    @property
    def gone_ids(self):
        """Return the members that have failed or left."""
        return tuple(self._gone_since_s_by_id)

    def get(self, vm_id):
        """Return the latest update of a member, or None."""
        return self._updates_by_id.get(vm_id)

    def add_reachable(self, updates):
        """Add many reachable members that are not in the table yet."""
        for update in updates:
            self._updates_by_id[update.vm_id] = update
            self._ring.append(update.vm_id)
        self._ring.sort(key=ring_position)

    def store(self, update, *, now_s):
        """Store the latest update of a member."""
        vm_id = update.vm_id
        previous = self._updates_by_id.get(vm_id)
        was_reachable = (
            previous is not None and previous.state not in GONE_STATES
        )
        is_reachable = update.state not in GONE_STATES
        self._updates_by_id[vm_id] = update
        if is_reachable and not was_reachable:
            bisect.insort(self._ring, vm_id, key=ring_position)
            self._gone_since_s_by_id.pop(vm_id, None)
        elif not is_reachable:
            self._gone_since_s_by_id.setdefault(vm_id, now_s)
            if was_reachable:
                self._drop_from_ring(vm_id)

    def remove(self, vm_id):
        """Remove a member."""
        previous = self._updates_by_id.pop(vm_id)
        self._gone_since_s_by_id.pop(vm_id, None)
        if previous.state not in GONE_STATES:
            self._drop_from_ring(vm_id)

    def successor(self, *, step):
        """Return the reachable member ``step`` places after the next one.

        Return None if no member is reachable.
        """
        if not self._ring:
            return None
        index = bisect.bisect_right(
            self._ring, self._own_position, key=ring_position
        )
        return self._ring[(index + step) % len(self._ring)]

    def choose_random(self, *, count, excluded_ids=()):
        """Return up to ``count`` random reachable members."""
        chosen_ids = []
        for _ in range(min(count, len(self._ring))):
            index = int(self._generator.integers(len(self._ring)))
            vm_id = self._ring[index]
            if vm_id not in excluded_ids and vm_id not in chosen_ids:
                chosen_ids.append(vm_id)
        return chosen_ids

    def choose_answering(self, *, count, excluded_ids):
        """Return up to ``count`` random members that are not suspected."""
        chosen_ids = self.choose_random(
            count=2 * count, excluded_ids=excluded_ids
        )
        answering_ids = [
            vm_id
            for vm_id in chosen_ids
            if self._updates_by_id[vm_id].state in ANSWERING_STATES
        ]
        return answering_ids[:count]

    def choose_gone(self, *, count):
        """Return up to ``count`` members that failed or left.

        They are consecutive, from a random start.
        """
        gone_ids = list(self._gone_since_s_by_id)
        if len(gone_ids) <= count:
            return gone_ids
        start = int(self._generator.integers(len(gone_ids)))
        return (gone_ids + gone_ids)[start : start + count]

    def gone_before(self, *, time_s):
        """Return the members that failed or left before a time."""
        return [
            vm_id
            for vm_id, since_s in self._gone_since_s_by_id.items()
            if since_s < time_s
        ]

    def _drop_from_ring(self, vm_id):
        index = bisect.bisect_left(
            self._ring, ring_position(vm_id), key=ring_position
        )
        while self._ring[index] != vm_id:
            index += 1
        del self._ring[index]
