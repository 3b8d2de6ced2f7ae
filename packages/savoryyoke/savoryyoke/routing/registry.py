"""Track the targets of a service and which of them may get calls."""

import dataclasses

from savoryyoke.routing import decisions
from savoryyoke.routing import rings
from savoryyoke.routing import subsets
from savoryyoke.routing import targets


@dataclasses.dataclass(frozen=True, kw_only=True)
class _RemovedTarget:
    """Record the last incarnation of a removed target."""

    incarnation: int
    leaving: bool
    expires_at_s: float


class TargetRegistry:
    """Track targets, data centres, entries and planned connections."""

    def __init__(self, *, entry_id, data_centre, settings):
        self._entry_id = entry_id
        self._data_centre = data_centre
        self._settings = settings
        self._states_by_id = {}
        self._removed_by_id = {}
        self._excluded_data_centres = set()
        self._distances_s = {}
        self._entry_table = subsets.EntryTable(
            data_centres_by_entry_id={entry_id: data_centre}
        )
        self._connected_ids = set()
        self._subset = ()
        self._subset_dirty = True
        self._usable = None
        self._ring = None

    def __len__(self):
        """Return the number of targets."""
        return len(self._states_by_id)

    def get(self, target_id):
        """Return the state of a target, or None."""
        return self._states_by_id.get(target_id)

    def add_target(self, event, *, now_s):
        """Add a target or its new incarnation.

        Return its state and the reason for a rejection, each may be None;
        both are None for a repeated event.
        """
        self._remove_expired_tombstones(now_s=now_s)
        removed = self._removed_by_id.get(event.target_id)
        if removed is not None and event.incarnation < removed.incarnation:
            return None, decisions.RejectionReason.OLD_INCARNATION
        current = self._states_by_id.get(event.target_id)
        if current is not None and event.incarnation < current.incarnation:
            return None, decisions.RejectionReason.OLD_INCARNATION
        if current is not None and event.incarnation == current.incarnation:
            return None, None
        state = targets.TargetState(
            event=event,
            distance_s=self._get_distance(event.data_centre),
            settings=self._settings,
        )
        if removed is not None and event.incarnation == removed.incarnation:
            state.leaving = removed.leaving
        self._states_by_id[event.target_id] = state
        if current is not None:
            current.leaving = True
        self._connected_ids.discard(event.target_id)
        self._subset_dirty = True
        self.refresh()
        return state, None

    def remove_target(self, state, *, now_s):
        """Remove a target and record its last incarnation.

        The same incarnation may be added again, for example after it was
        missing from a list, but one that was leaving stays so.
        """
        self._removed_by_id.pop(state.target_id, None)
        self._removed_by_id[state.target_id] = _RemovedTarget(
            incarnation=state.incarnation,
            leaving=state.leaving,
            expires_at_s=now_s + self._settings.tombstone_lifetime_s,
        )
        del self._states_by_id[state.target_id]
        # Excludes it from choices before connections are planned again.
        state.leaving = True
        self._subset_dirty = True
        self.refresh()

    def _remove_expired_tombstones(self, *, now_s):
        for target_id, removed in tuple(self._removed_by_id.items()):
            if removed.expires_at_s > now_s:
                break
            del self._removed_by_id[target_id]

    def set_peers(self, data_centres_by_entry_id):
        """Replace the entries of the fleet."""
        peers = {self._entry_id: self._data_centre}
        peers.update(data_centres_by_entry_id)
        self._entry_table = subsets.EntryTable(data_centres_by_entry_id=peers)
        self._subset_dirty = True

    def set_distances(self, distances_s_by_data_centre):
        """Replace the one-way delays to the data centres, in seconds."""
        self._distances_s = dict(distances_s_by_data_centre)
        for state in self._states_by_id.values():
            state.distance_s = self._get_distance(state.data_centre)

    def _get_distance(self, data_centre):
        default_s = self._settings.default_distance_s
        if data_centre == self._data_centre:
            default_s = 0.0
        return self._distances_s.get(data_centre, default_s)

    def exclude_data_centre(self, data_centre):
        """Exclude a data centre from new calls."""
        self._excluded_data_centres.add(data_centre)
        self.refresh()

    def readmit_data_centre(self, data_centre):
        """Allow calls to a data centre again; return its targets' states.

        The result is empty if the data centre was not excluded.
        """
        if data_centre not in self._excluded_data_centres:
            return ()
        self._excluded_data_centres.discard(data_centre)
        self.refresh()
        return tuple(
            state
            for state in self._states_by_id.values()
            if state.data_centre == data_centre
        )

    @property
    def data_centres_out(self):
        """Return the names of the excluded data centres."""
        return frozenset(self._excluded_data_centres)

    def refresh(self):
        """Discard the cached usable targets and the hash ring."""
        self._usable = None
        self._ring = None

    def is_usable(self, state):
        """Return whether a target may get new calls."""
        return (
            state.reachable
            and not state.leaving
            and state.entry_rank is not None
            and state.data_centre not in self._excluded_data_centres
        )

    def get_usable(self):
        """Return the list of targets that may get new calls."""
        if self._usable is None:
            self._usable = [
                state for state in self._subset if self.is_usable(state)
            ]
        return self._usable

    def get_ring(self):
        """Return the hash ring over the usable targets."""
        if self._ring is None:
            self._ring = rings.Ring(
                target_ids=[state.target_id for state in self.get_usable()]
            )
        return self._ring

    def plan_connections(self):
        """Return the connections to open and to close since the last plan."""
        if self._subset_dirty:
            self._assign_entries()
            self._subset_dirty = False
            self.refresh()
        wanted_ids = {state.target_id for state in self._subset}
        change = decisions.SubsetChanged(
            connect=tuple(sorted(wanted_ids - self._connected_ids)),
            disconnect=tuple(sorted(self._connected_ids - wanted_ids)),
        )
        self._connected_ids = wanted_ids
        return change

    def _assign_entries(self):
        count = subsets.count_connected_entries(
            entries=len(self._entry_table.entry_ids),
            targets=len(self._states_by_id),
            settings=self._settings,
        )
        for state in self._states_by_id.values():
            connected_entry_ids = self._entry_table.select_connected_entries(
                target_id=state.target_id,
                data_centre=state.data_centre,
                count=count,
                near_share=self._settings.near_share,
            )
            state.connected_entries_count = len(connected_entry_ids)
            state.entry_rank = None
            if self._entry_id in connected_entry_ids:
                state.entry_rank = connected_entry_ids.index(self._entry_id)
        self._subset = tuple(
            state
            for state in self._states_by_id.values()
            if state.entry_rank is not None
        )
