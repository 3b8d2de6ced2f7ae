"""Hold expert maps and work out the load of each rank."""

import dataclasses

import numpy
import xxhash

from savoryyoke.groups import exceptions


@dataclasses.dataclass(frozen=True, kw_only=True, eq=False)
class ExpertMap:
    """Say which expert each slot of each rank holds.

    ``experts`` is an integer array of shape (layers, ranks, slots). An
    expert's tokens are split evenly over its replicas.
    """

    experts: numpy.ndarray
    experts_count: int

    def __post_init__(self):
        """Check that every expert has a replica in every layer."""
        if self.experts.ndim != 3:
            raise exceptions.InvalidShape('a map has three dimensions')
        for layer in self.experts:
            held = numpy.unique(layer)
            if not numpy.array_equal(held, numpy.arange(self.experts_count)):
                raise exceptions.InvalidShape('an expert has no replica')
        self.experts.setflags(write=False)

    def digest(self):
        """Return a hash of the map's content as an integer of 64 bits."""
        content = numpy.ascontiguousarray(self.experts, dtype='<i4')
        shape = repr(self.experts.shape).encode()
        return xxhash.xxh64_intdigest(shape + content.tobytes())


def make_even_map(*, layers, ranks, slots, experts_count):
    """Return the map that gives slots to experts in turn."""
    if ranks * slots < experts_count:
        raise exceptions.InvalidShape('there are more experts than slots')
    slot = numpy.arange(slots)[:, None]
    # Each further slot is rotated over the ranks, so that replicas of an
    # expert lie on different ranks.
    rank = (numpy.arange(ranks) + slot) % ranks
    layer = ((slot * ranks + rank) % experts_count).T
    experts = numpy.repeat(layer[None], layers, axis=0)
    return ExpertMap(experts=experts, experts_count=experts_count)


def count_replicas(experts, experts_count):
    """Return the number of replicas of each expert of one layer."""
    return numpy.bincount(experts.ravel(), minlength=experts_count)


def find_rank_times(experts, loads, speeds):
    """Return each rank's time for one layer, in tokens at speed 1.

    ``experts`` has the shape (ranks, slots), ``loads`` holds the tokens of
    each expert and ``speeds`` the relative speed of each rank.
    """
    shares = loads / count_replicas(experts, len(loads))
    return shares[experts].sum(axis=1) / speeds


def find_step_time(expert_map, loads, speeds):
    """Return the time of one step; each layer waits for its slowest rank."""
    return sum(
        find_rank_times(layer, layer_loads, speeds).max()
        for layer, layer_loads in zip(expert_map.experts, loads)
    )


def find_lower_bound(loads, speeds):
    """Return the step time if every layer's load were perfectly even."""
    return loads.sum() / speeds.sum()


def count_moves(former, following):
    """Return how many weights each rank has to load for the new map."""
    moves = numpy.zeros(former.experts.shape[1], dtype=int)
    for old, new in zip(former.experts, following.experts):
        for rank in numpy.nonzero((old != new).any(axis=1))[0]:
            moves[rank] += len(set(new[rank]) - set(old[rank]))
    return moves
