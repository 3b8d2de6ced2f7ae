"""Choose the processes that read the platform; limit their call rate."""

import dataclasses

from savoryyoke.propagation import decisions
from savoryyoke.propagation import utils


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Watch:
    """Describe one open call."""

    deadline_s: float


class PlatformReader:
    """Decide when this process calls the platform, and for which document.

    Each process spaces its calls by a fixed time, from a start time derived
    from its name. This limits the call rate of the fleet even if its
    processes cannot reach each other.
    """

    def __init__(self, *, vm_id, role, data_centre, settings):
        self._vm_id = vm_id
        self._role = role
        self._data_centre = data_centre
        self._settings = settings
        self._watches_by_name = {}
        self._due_s_by_name = {}
        self._failures_by_name = {}
        self._next_call_s = None
        self.is_reader = False

    def elect(self, peers):
        """Decide from the live processes whether this one is a reader.

        The entries with the lowest hashes in a data centre are readers.
        Targets replace them while no entry is alive in any data centre.
        """
        role = 'entry'
        if self._role != 'entry':
            if any(peer.role == 'entry' for peer in peers):
                self.is_reader = False
                return
            role = self._role
        lower_count = sum(
            self._hash_weight(peer.vm_id) < self._hash_weight(self._vm_id)
            for peer in peers
            if peer.role == role and peer.data_centre == self._data_centre
        )
        self.is_reader = lower_count < self._settings.reader_count

    def take_calls(self, *, names, store, now_s):
        """Return the calls that are due, at most one at a time."""
        if self._next_call_s is None:
            jitter = utils.hash_fraction(self._vm_id, 'platform')
            self._next_call_s = now_s + jitter * self._settings.call_spacing_s
        self._expire(now_s)
        if now_s < self._next_call_s:
            return ()
        for name in self._sort_by_due_time(names):
            if name in self._watches_by_name:
                continue
            if now_s < self._due_s_by_name.get(name, 0.0):
                continue
            return (self._call(name, store, now_s),)
        return ()

    def end_call(self, name, *, is_success, now_s):
        """Close a call; increase the delay after each consecutive failure."""
        self._watches_by_name.pop(name, None)
        failures = 0 if is_success else self._failures_by_name.get(name, 0) + 1
        self._failures_by_name[name] = failures
        if not failures:
            self._due_s_by_name[name] = now_s
            return
        pause_s = min(
            self._settings.call_spacing_s * 2 ** min(failures - 1, 10),
            self._settings.backoff_limit_s,
        )
        jitter = utils.hash_fraction(self._vm_id, name, failures)
        self._due_s_by_name[name] = now_s + pause_s * (0.5 + jitter / 2)

    def _call(self, name, store, now_s):
        self._next_call_s = now_s + self._settings.call_spacing_s
        timeout_s = self._settings.watch_timeout_s
        self._watches_by_name[name] = Watch(
            deadline_s=now_s + timeout_s + self._settings.watch_grace_s
        )
        return decisions.ReadPlatform(
            name=name,
            after_revision=store.newest_revision(name),
            timeout_s=timeout_s,
        )

    def _sort_by_due_time(self, names):
        return sorted(
            names, key=lambda name: self._due_s_by_name.get(name, 0.0)
        )

    def _expire(self, now_s):
        for name, watch in list(self._watches_by_name.items()):
            if watch.deadline_s < now_s:
                self.end_call(name, is_success=False, now_s=now_s)

    def _hash_weight(self, vm_id):
        return (utils.hash_fraction(vm_id, self._data_centre), vm_id)
