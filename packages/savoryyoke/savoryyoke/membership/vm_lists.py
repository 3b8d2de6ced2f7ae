"""Accept or reject the VM lists of the platform."""

from savoryyoke.membership import checks
from savoryyoke.membership import members


class VmListStore:
    """Hold the last accepted VM list and check later ones."""

    def __init__(self, *, settings):
        self._settings = settings
        self._sequence = None
        self._entries = ()
        self._entries_by_id = {}

    @property
    def has_list(self):
        """Return whether a list has been accepted."""
        return self._sequence is not None

    def __contains__(self, vm_id):
        return vm_id in self._entries_by_id

    def is_leaving(self, vm_id):
        """Return whether the VM list marks a VM as leaving."""
        entry = self._entries_by_id.get(vm_id)
        return entry is not None and entry.state == 'leaving'

    def check(self, event, *, table):
        """Return the faults of a VM list; a list with any is rejected."""
        faults = checks.check_entries(
            entries=event.entries, limit=self._settings.vm_list_limit
        ) or checks.check_sequence(
            sequence=event.sequence,
            last_sequence=self._sequence,
            has_same_entries=event.entries == self._entries,
        )
        if faults or self._sequence is None:
            return faults
        return self._check_dropped(event, table)

    def replace(self, event):
        """Store a checked list; return the previous entries by identifier."""
        previous_entries_by_id = self._entries_by_id
        self._sequence = event.sequence
        self._entries = event.entries
        self._entries_by_id = {entry.vm_id: entry for entry in event.entries}
        return previous_entries_by_id

    def _check_dropped(self, event, table):
        listed_ids = {entry.vm_id for entry in event.entries}
        answering_ids = [
            update.vm_id
            for update in table
            if update.incarnation and update.state in members.ANSWERING_STATES
        ]
        return checks.check_dropped(
            dropped_count=sum(
                vm_id not in listed_ids for vm_id in answering_ids
            ),
            answering_count=len(answering_ids),
            share_limit=self._settings.dropped_share_limit,
        )
