"""Know what each version of a group's map holds."""

from savoryyoke.groups.balancing import conf
from savoryyoke.groups.balancing import planner
from savoryyoke.groups.rollout import models


class MapContents:
    """Own the maps that are known, by version.

    Agents learn maps from the leader's directives. A leader that has been
    restarted since then collects the map in use from what each rank holds.
    """

    def __init__(self):
        self._shape = None
        self._experts_by_version = {}
        self._held_by_rank = {}

    def set_shape(self, shape):
        """Take over the sets and experts of the group; forget all maps."""
        self._shape = shape
        self._experts_by_version.clear()
        self._held_by_rank.clear()

    def knows(self, version):
        """Return whether the map of ``version`` is known."""
        return version == 0 or version in self._experts_by_version

    def find(self, version, *, ranks):
        """Return experts by set, rank and place; None if unknown."""
        if version == 0 and self._shape is not None:
            return planner.make_first_map(
                sets=self._shape.sets, ranks=ranks, experts=self._shape.experts
            )
        return self._experts_by_version.get(version)

    def find_kept(self, version):
        """Return the ``models.ExpertMap`` of a version, or None."""
        experts = self._experts_by_version.get(version)
        if experts is None:
            return None
        return models.ExpertMap(version=version, experts=experts)

    def note_map(self, expert_map):
        """Remember a ``models.ExpertMap``."""
        self._experts_by_version[expert_map.version] = expert_map.experts
        while len(self._experts_by_version) > conf.MAPS_KEPT:
            del self._experts_by_version[min(self._experts_by_version)]

    def note_held(self, rank, held, *, ranks):
        """Take in the ``models.RankMap`` of a rank.

        The map is known once all ranks have reported the same version. What
        does not fit the shape is left out: it is of another group's life.
        """
        if self._shape is None or len(held.experts) != self._shape.sets:
            return
        self._held_by_rank[rank] = held
        held_by_rank = {
            other: known
            for other, known in self._held_by_rank.items()
            if known.version == held.version
        }
        if set(held_by_rank) != set(range(ranks)):
            return
        by_rank = [held_by_rank[other].experts for other in range(ranks)]
        self.note_map(
            models.ExpertMap(
                version=held.version, experts=tuple(zip(*by_rank, strict=True))
            )
        )
        self._held_by_rank.clear()
