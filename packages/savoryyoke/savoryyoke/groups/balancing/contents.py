"""Store the contents of a group's expert maps by version."""

from savoryyoke.groups.balancing import conf
from savoryyoke.groups.balancing import planner
from savoryyoke.groups.rollout import models


class MapContents:
    """Store the latest expert maps by version.

    Agents receive maps with the leader's directives. A leader that has lost
    the map in use by a restart reassembles it from the experts that each rank
    reports.
    """

    def __init__(self):
        self._shape = None
        self._experts_by_version = {}
        self._rank_maps_by_rank = {}

    def set_shape(self, shape):
        """Set the numbers of sets and experts, and discard all maps."""
        self._shape = shape
        self._experts_by_version.clear()
        self._rank_maps_by_rank.clear()

    def has_map(self, version):
        """Return whether the map of ``version`` is available."""
        return version == 0 or version in self._experts_by_version

    def find_experts(self, version, *, ranks):
        """Return the experts by set, rank and slot, or None if unavailable.

        ``ranks`` is the number of ranks, which determines the map of version
        0, the one that a group starts with.
        """
        if version == 0 and self._shape is not None:
            return planner.make_initial_map(
                sets=self._shape.sets, ranks=ranks, experts=self._shape.experts
            )
        return self._experts_by_version.get(version)

    def find_map(self, version):
        """Return the stored ``models.ExpertMap`` of a version, or None."""
        experts = self._experts_by_version.get(version)
        if experts is None:
            return None
        return models.ExpertMap(version=version, experts=experts)

    def add_map(self, expert_map):
        """Store a ``models.ExpertMap`` and discard the oldest if needed."""
        self._experts_by_version[expert_map.version] = expert_map.experts
        while len(self._experts_by_version) > conf.MAX_STORED_MAPS:
            del self._experts_by_version[min(self._experts_by_version)]

    def find_change(self, expert_map, *, base_version, ranks):
        """Return a ``models.MapChange`` from an earlier map to a map.

        Return None if the earlier map is unavailable.
        """
        base = self.find_experts(base_version, ranks=ranks)
        if base is None:
            return None
        return models.MapChange(
            version=expert_map.version,
            base_version=base_version,
            experts_by_rank_by_set=tuple(
                {
                    rank: experts
                    for rank, experts in enumerate(experts_by_rank)
                    if experts != base_by_rank[rank]
                }
                for experts_by_rank, base_by_rank in zip(
                    expert_map.experts, base, strict=True
                )
            ),
        )

    def add_change(self, change, *, ranks):
        """Store and return the map that a ``models.MapChange`` describes.

        Return None if the map that it changes is unavailable or has other
        sets or ranks.
        """
        base = self.find_experts(change.base_version, ranks=ranks)
        changed_sets = change.experts_by_rank_by_set
        if base is None or len(base) != len(changed_sets):
            return None
        if any(
            max(changed_set, default=0) >= ranks
            for changed_set in changed_sets
        ):
            return None
        expert_map = models.ExpertMap(
            version=change.version,
            experts=tuple(
                tuple(
                    changed_set.get(rank, experts)
                    for rank, experts in enumerate(base_set)
                )
                for base_set, changed_set in zip(
                    base, changed_sets, strict=True
                )
            ),
        )
        self.add_map(expert_map)
        return expert_map

    def add_rank_map(self, rank, rank_map, *, ranks):
        """Add the ``models.RankMap`` that a rank has reported.

        The map is stored once all ``ranks`` ranks have reported the same
        version. Reports with another number of sets are ignored, since they
        belong to an earlier group with another shape.
        """
        if self._shape is None or len(rank_map.experts) != self._shape.sets:
            return
        self._rank_maps_by_rank[rank] = rank_map
        same_version_by_rank = {
            reporting_rank: reported_map
            for reporting_rank, reported_map in self._rank_maps_by_rank.items()
            if reported_map.version == rank_map.version
        }
        if set(same_version_by_rank) != set(range(ranks)):
            return
        experts_by_rank = [
            same_version_by_rank[reporting_rank].experts
            for reporting_rank in range(ranks)
        ]
        self.add_map(
            models.ExpertMap(
                version=rank_map.version,
                experts=tuple(zip(*experts_by_rank, strict=True)),
            )
        )
        self._rank_maps_by_rank.clear()
