"""Hold what this process knows of the other members."""

import bisect
import dataclasses

import xxhash

from savoryyoke.membership import messages

ANSWERING = frozenset(
    [messages.MemberState.ALIVE, messages.MemberState.LEAVING]
)
GONE = frozenset([messages.MemberState.FAILED, messages.MemberState.LEFT])


def rank(vm_id):
    """Return the place of a member on the ring that all agree on."""
    return xxhash.xxh3_64_intdigest(vm_id.encode())


def without_profile(update):
    """Return an update that omits what other members know already."""
    return dataclasses.replace(update, role='', data_centre='', address='')


def with_profile(update, *, known):
    """Return an update with the profile of an earlier one filled in."""
    if update.address:
        return update
    return dataclasses.replace(
        update,
        role=known.role,
        data_centre=known.data_centre,
        address=known.address,
    )


class MemberTable:
    """Index the latest update of each other member.

    Members that are neither failed nor left stand on a ring ordered by a
    hash, so that each has the same few fixed observers in every view.
    """

    def __init__(self, *, vm_id, generator):
        self._rank = rank(vm_id)
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

    def fill(self, updates):
        """Add many reachable members that are not known yet."""
        for update in updates:
            self._updates_by_id[update.vm_id] = update
            self._ring.append(update.vm_id)
        self._ring.sort(key=rank)

    def put(self, update, *, now_s):
        """Store the latest update of a member."""
        vm_id = update.vm_id
        known = self._updates_by_id.get(vm_id)
        was_reachable = known is not None and known.state not in GONE
        is_reachable = update.state not in GONE
        self._updates_by_id[vm_id] = update
        if is_reachable and not was_reachable:
            bisect.insort(self._ring, vm_id, key=rank)
            self._gone_since_s_by_id.pop(vm_id, None)
        elif not is_reachable:
            self._gone_since_s_by_id.setdefault(vm_id, now_s)
            if was_reachable:
                self._drop_from_ring(vm_id)

    def remove(self, vm_id):
        """Forget a member."""
        known = self._updates_by_id.pop(vm_id)
        self._gone_since_s_by_id.pop(vm_id, None)
        if known.state not in GONE:
            self._drop_from_ring(vm_id)

    def successor(self, *, step):
        """Return the reachable member ``step`` places on, or None."""
        if not self._ring:
            return None
        place = bisect.bisect_right(self._ring, self._rank, key=rank)
        return self._ring[(place + step) % len(self._ring)]

    def choose(self, *, count, without=()):
        """Return up to ``count`` random reachable members."""
        chosen = []
        for _ in range(min(count, len(self._ring))):
            place = int(self._generator.integers(len(self._ring)))
            vm_id = self._ring[place]
            if vm_id not in without and vm_id not in chosen:
                chosen.append(vm_id)
        return chosen

    def choose_answering(self, *, count, without):
        """Return up to ``count`` random members that nobody suspects."""
        chosen = self.choose(count=2 * count, without=without)
        answering = [
            vm_id
            for vm_id in chosen
            if self._updates_by_id[vm_id].state in ANSWERING
        ]
        return answering[:count]

    def choose_gone(self, *, count):
        """Return up to ``count`` members that failed or left."""
        gone = list(self._gone_since_s_by_id)
        if len(gone) <= count:
            return gone
        start = int(self._generator.integers(len(gone)))
        return (gone + gone)[start : start + count]

    def expired(self, *, before_s):
        """Return the members that failed or left before a time."""
        return [
            vm_id
            for vm_id, since_s in self._gone_since_s_by_id.items()
            if since_s < before_s
        ]

    def _drop_from_ring(self, vm_id):
        place = bisect.bisect_left(self._ring, rank(vm_id), key=rank)
        while self._ring[place] != vm_id:
            place += 1
        del self._ring[place]
