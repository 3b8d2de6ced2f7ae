"""Hold the targets of a service and which of them may get work."""

import dataclasses

from savoryyoke.routing import decisions
from savoryyoke.routing import rings
from savoryyoke.routing import subsets
from savoryyoke.routing import targets


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Ended:
    incarnation: int
    leaving: bool
    until_s: float


class TargetRegistry:
    """Track targets, data centres, peers and the connections they imply."""

    def __init__(self, *, entry_id, data_centre, settings):
        self._entry_id = entry_id
        self._data_centre = data_centre
        self._settings = settings
        self._states_by_id = {}
        self._ended_by_id = {}
        self._out = set()
        self._distances_s = {}
        self._table = subsets.EntryTable(
            data_centres_by_entry_id={entry_id: data_centre}
        )
        self._connected = set()
        self._subset = ()
        self._subset_dirty = True
        self._usable = None
        self._ring = None

    def __len__(self):
        """Return the number of known targets."""
        return len(self._states_by_id)

    def get(self, target_id):
        """Return the state of a target, or None."""
        return self._states_by_id.get(target_id)

    def see(self, seen, *, now_s):
        """Take up a target; return its state and why it is rejected."""
        self._forget_ended(now_s=now_s)
        ended = self._ended_by_id.get(seen.target_id)
        if ended is not None and seen.incarnation < ended.incarnation:
            return None, decisions.RejectionReason.OLD_INCARNATION
        known = self._states_by_id.get(seen.target_id)
        if known is not None and seen.incarnation < known.incarnation:
            return None, decisions.RejectionReason.OLD_INCARNATION
        if known is not None and seen.incarnation == known.incarnation:
            return None, None
        state = targets.TargetState(
            seen=seen,
            distance_s=self._get_distance(seen.data_centre),
            settings=self._settings,
        )
        if ended is not None and seen.incarnation == ended.incarnation:
            state.leaving = ended.leaving
        self._states_by_id[seen.target_id] = state
        if known is not None:
            known.leaving = True
        self._connected.discard(seen.target_id)
        self._subset_dirty = True
        self.refresh()
        return state, None

    def end(self, state, *, now_s):
        """Drop a target and remember its last incarnation.

        One that was lost from a list for a while may be seen again, but
        never stops leaving.
        """
        self._ended_by_id.pop(state.target_id, None)
        self._ended_by_id[state.target_id] = _Ended(
            incarnation=state.incarnation,
            leaving=state.leaving,
            until_s=now_s + self._settings.tombstone_lifetime_s,
        )
        del self._states_by_id[state.target_id]
        # A later choice must not see it, also without a new plan.
        state.leaving = True
        self._subset_dirty = True
        self.refresh()

    def _forget_ended(self, *, now_s):
        for target_id, ended in tuple(self._ended_by_id.items()):
            if ended.until_s > now_s:
                break
            del self._ended_by_id[target_id]

    def set_peers(self, data_centres_by_entry_id):
        """Take up the entries of the fleet."""
        peers = {self._entry_id: self._data_centre}
        peers.update(data_centres_by_entry_id)
        self._table = subsets.EntryTable(data_centres_by_entry_id=peers)
        self._subset_dirty = True

    def set_distances(self, distances_s_by_data_centre):
        """Take up the one-way delays to the data centres, in seconds."""
        self._distances_s = dict(distances_s_by_data_centre)
        for state in self._states_by_id.values():
            state.distance_s = self._get_distance(state.data_centre)

    def _get_distance(self, data_centre):
        default_s = self._settings.default_distance_s
        if data_centre == self._data_centre:
            default_s = 0.0
        return self._distances_s.get(data_centre, default_s)

    def take_out(self, data_centre):
        """Give no new work to a data centre."""
        self._out.add(data_centre)
        self.refresh()

    def bring_in(self, data_centre):
        """Allow work to a data centre; return its targets' states."""
        if data_centre not in self._out:
            return ()
        self._out.discard(data_centre)
        self.refresh()
        return tuple(
            state
            for state in self._states_by_id.values()
            if state.data_centre == data_centre
        )

    @property
    def data_centres_out(self):
        """Return the names of the data centres that are out."""
        return frozenset(self._out)

    def refresh(self):
        """Recompute which targets are usable at the next query."""
        self._usable = None
        self._ring = None

    def is_usable(self, state):
        """Return whether a target may get new work."""
        return (
            state.reachable
            and not state.leaving
            and state.position is not None
            and state.data_centre not in self._out
        )

    def get_usable(self):
        """Return the targets that may get new work, as a list."""
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
            self._place_sharers()
            self._subset_dirty = False
            self.refresh()
        wanted = {state.target_id for state in self._subset}
        change = decisions.SubsetChanged(
            connect=tuple(sorted(wanted - self._connected)),
            disconnect=tuple(sorted(self._connected - wanted)),
        )
        self._connected = wanted
        return change

    def _place_sharers(self):
        count = subsets.count_sharers(
            entries=len(self._table.entry_ids),
            targets=len(self._states_by_id),
            settings=self._settings,
        )
        for state in self._states_by_id.values():
            sharers = self._table.select_sharers(
                target_id=state.target_id,
                data_centre=state.data_centre,
                count=count,
                near_share=self._settings.near_share,
            )
            state.sharers_count = len(sharers)
            state.position = None
            if self._entry_id in sharers:
                state.position = sharers.index(self._entry_id)
        self._subset = tuple(
            state
            for state in self._states_by_id.values()
            if state.position is not None
        )
