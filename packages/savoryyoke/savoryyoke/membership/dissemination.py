"""Choose which updates ride on the next messages."""

import collections

from savoryyoke.membership import messages
from savoryyoke.membership import sizes


class UpdateQueue:
    """Hold updates, each for a bounded number of transmissions.

    The newest update of a member replaces an older one. What members say of
    themselves goes before accusations, so that a refutation is not held up
    by the loss of a whole data centre. Among equals new updates go first;
    the others take turns.
    """

    def __init__(self, *, limit_bytes):
        self._limit_bytes = limit_bytes
        self._statements_by_id = collections.OrderedDict()
        self._accusations_by_id = collections.OrderedDict()

    def __len__(self):
        return len(self._statements_by_id) + len(self._accusations_by_id)

    def add(self, update, *, transmissions, is_news=True):
        """Queue an update for at least that many transmissions.

        What an older update of the member had left carries over. ``is_news``
        puts the update before its equals.
        """
        vm_id = update.vm_id
        left = 0
        for pending_by_id in (self._statements_by_id, self._accusations_by_id):
            left = max(left, pending_by_id.pop(vm_id, (None, 0))[1])
        pending_by_id = self._accusations_by_id
        if update.state < messages.MemberState.SUSPECT:
            pending_by_id = self._statements_by_id
        pending_by_id[vm_id] = (update, max(transmissions, left))
        if is_news:
            pending_by_id.move_to_end(vm_id, last=False)

    def note_repeat(self, update):
        """Let an update wait that another process has just sent.

        What everybody repeats makes room for what few have heard of.
        """
        for pending_by_id in (self._statements_by_id, self._accusations_by_id):
            if update.vm_id in pending_by_id:
                pending_by_id.move_to_end(update.vm_id)

    def take(self, *, first=()):
        """Return the updates for one message, beginning with ``first``."""
        taken = list(first)
        if not self:
            return tuple(taken)
        room = self._limit_bytes - sum(map(sizes.update_bytes, taken))
        named = {update.vm_id for update in taken}
        for pending_by_id in (self._statements_by_id, self._accusations_by_id):
            room = _move(pending_by_id, taken, named, room)
        return tuple(taken)


def _move(pending_by_id, taken, named, room):
    for _ in range(len(pending_by_id)):
        vm_id, (update, left) = next(iter(pending_by_id.items()))
        room -= sizes.update_bytes(update)
        if room < 0:
            break
        if vm_id not in named:
            taken.append(update)
        if left > 1:
            pending_by_id[vm_id] = (update, left - 1)
            pending_by_id.move_to_end(vm_id)
        else:
            del pending_by_id[vm_id]
    return room
