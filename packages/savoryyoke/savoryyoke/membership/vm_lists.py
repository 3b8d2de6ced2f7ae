"""Accept or refuse the platform's VM lists."""

from savoryyoke.membership import checks
from savoryyoke.membership import members


class VmListKeeper:
    """Hold the last good VM list and check its successors."""

    def __init__(self, *, settings):
        self._settings = settings
        self._sequence = None
        self._entries = ()
        self._entries_by_id = {}

    @property
    def is_known(self):
        """Return whether a list has been accepted."""
        return self._sequence is not None

    def __contains__(self, vm_id):
        return vm_id in self._entries_by_id

    def is_leaving(self, vm_id):
        """Return whether the platform says that a VM is leaving."""
        entry = self._entries_by_id.get(vm_id)
        return entry is not None and entry.state == 'leaving'

    def check(self, event, *, table):
        """Return the faults for which a list is refused whole."""
        faults = checks.check_entries(
            entries=event.entries, limit=self._settings.vm_list_limit
        ) or checks.check_sequence(
            sequence=event.sequence,
            last_sequence=self._sequence,
            is_same=event.entries == self._entries,
        )
        if faults or self._sequence is None:
            return faults
        return self._check_dropped(event, table)

    def replace(self, event):
        """Take a checked list; return the entries that it replaces."""
        replaced = self._entries_by_id
        self._sequence = event.sequence
        self._entries = event.entries
        self._entries_by_id = {entry.vm_id: entry for entry in event.entries}
        return replaced

    def _check_dropped(self, event, table):
        named = {entry.vm_id for entry in event.entries}
        answering = [
            update.vm_id
            for update in table
            if update.incarnation and update.state in members.ANSWERING
        ]
        return checks.check_dropped(
            dropped=sum(vm_id not in named for vm_id in answering),
            answering=len(answering),
            share_limit=self._settings.dropped_share_limit,
        )
