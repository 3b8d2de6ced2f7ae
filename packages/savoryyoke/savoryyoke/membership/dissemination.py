"""Choose which updates ride on the next messages."""

import collections

from savoryyoke.membership import sizes


class UpdateQueue:
    """Hold updates, each for a bounded number of transmissions.

    The newest update of a member replaces an older one. New updates go
    first; the others take turns.
    """

    def __init__(self, *, limit_bytes):
        self._limit_bytes = limit_bytes
        self._pending_by_id = collections.OrderedDict()

    def __len__(self):
        return len(self._pending_by_id)

    def add(self, update, *, transmissions, is_news=True):
        """Queue an update for at least that many transmissions.

        What an older update of the member had left carries over. ``is_news``
        puts the update before all others.
        """
        pending = self._pending_by_id.get(update.vm_id)
        if pending is not None:
            transmissions = max(transmissions, pending[1])
        self._pending_by_id[update.vm_id] = (update, transmissions)
        if is_news:
            self._pending_by_id.move_to_end(update.vm_id, last=False)

    def take(self, *, first=()):
        """Return the updates for one message, beginning with ``first``."""
        taken = list(first)
        if not self._pending_by_id:
            return tuple(taken)
        size = sum(sizes.update_bytes(update) for update in taken)
        named = {update.vm_id for update in taken}
        for _ in range(len(self._pending_by_id)):
            vm_id, (update, left) = next(iter(self._pending_by_id.items()))
            size += sizes.update_bytes(update)
            if size > self._limit_bytes:
                break
            if vm_id not in named:
                taken.append(update)
            if left > 1:
                self._pending_by_id[vm_id] = (update, left - 1)
                self._pending_by_id.move_to_end(vm_id)
            else:
                del self._pending_by_id[vm_id]
        return tuple(taken)
