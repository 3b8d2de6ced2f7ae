"""Choose the updates that the next messages carry."""

import collections

from savoryyoke.membership import messages
from savoryyoke.membership import sizes


class UpdateQueue:
    """Queue updates, each for a limited number of transmissions.

    The newest update of a member replaces an older one. Updates in state
    ``ALIVE`` or ``LEAVING`` precede all others, so that the loss of a whole
    data centre does not delay refutations. Within each of these two classes
    new updates come first; the others are sent in rotation.
    """

    def __init__(self, *, limit_bytes):
        self._limit_bytes = limit_bytes
        self._live_updates_by_id = collections.OrderedDict()
        self._failure_updates_by_id = collections.OrderedDict()

    def __len__(self):
        return len(self._live_updates_by_id) + len(self._failure_updates_by_id)

    def add(self, update, *, transmissions, is_new=True):
        """Queue an update for at least ``transmissions`` messages.

        If an older update of the member had more transmissions left, their
        number is kept. ``is_new`` puts the update at the front of its class.
        """
        vm_id = update.vm_id
        transmissions_left = 0
        for pending_by_id in (
            self._live_updates_by_id,
            self._failure_updates_by_id,
        ):
            transmissions_left = max(
                transmissions_left, pending_by_id.pop(vm_id, (None, 0))[1]
            )
        pending_by_id = self._failure_updates_by_id
        if update.state < messages.MemberState.SUSPECT:
            pending_by_id = self._live_updates_by_id
        pending_by_id[vm_id] = (update, max(transmissions, transmissions_left))
        if is_new:
            pending_by_id.move_to_end(vm_id, last=False)

    def postpone(self, update):
        """Move an update that another process has just sent to the end.

        This leaves room for updates that fewer processes have received.
        """
        for pending_by_id in (
            self._live_updates_by_id,
            self._failure_updates_by_id,
        ):
            if update.vm_id in pending_by_id:
                pending_by_id.move_to_end(update.vm_id)

    def take(self, *, leading_updates=()):
        """Return the updates of one message, ``leading_updates`` first."""
        selected = list(leading_updates)
        if not self:
            return tuple(selected)
        room_bytes = self._limit_bytes - sum(map(sizes.update_bytes, selected))
        listed_ids = {update.vm_id for update in selected}
        for pending_by_id in (
            self._live_updates_by_id,
            self._failure_updates_by_id,
        ):
            room_bytes = _select_updates(
                pending_by_id, selected, listed_ids, room_bytes
            )
        return tuple(selected)


def _select_updates(pending_by_id, selected, listed_ids, room_bytes):
    for _ in range(len(pending_by_id)):
        vm_id, (update, transmissions_left) = next(iter(pending_by_id.items()))
        room_bytes -= sizes.update_bytes(update)
        if room_bytes < 0:
            break
        if vm_id not in listed_ids:
            selected.append(update)
        if transmissions_left > 1:
            pending_by_id[vm_id] = (update, transmissions_left - 1)
            pending_by_id.move_to_end(vm_id)
        else:
            del pending_by_id[vm_id]
    return room_bytes
