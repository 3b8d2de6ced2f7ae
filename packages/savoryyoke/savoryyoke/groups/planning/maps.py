"""Represent expert maps and compute the time that each rank needs."""

import dataclasses

import numpy
import xxhash

from savoryyoke.groups import exceptions


@dataclasses.dataclass(frozen=True, kw_only=True, eq=False)
class ExpertMap:
    """Assign an expert to each slot of each rank, layer by layer.

    ``experts`` is an integer array of shape (layers, ranks, slots). An
    expert's tokens are split evenly among its replicas.

    Raises InvalidShape if the array has other dimensions, or if a layer lacks
    an expert or holds an unknown one.
    """

    experts: numpy.ndarray
    experts_count: int

    def __post_init__(self):
        """Check the dimensions and that every layer holds every expert."""
        if self.experts.ndim != 3:
            raise exceptions.InvalidShape(
                'a map must have the dimensions layers, ranks and slots'
            )
        for layer in self.experts:
            layer_experts = numpy.unique(layer)
            if not numpy.array_equal(
                layer_experts, numpy.arange(self.experts_count)
            ):
                raise exceptions.InvalidShape(
                    'each layer of a map must hold all experts and no others'
                )
        self.experts.setflags(write=False)

    def digest(self):
        """Return a hash of the map's content, an integer of 64 bits."""
        content = numpy.ascontiguousarray(self.experts, dtype='<i4')
        shape = repr(self.experts.shape).encode()
        return xxhash.xxh64_intdigest(shape + content.tobytes())


def make_even_map(*, layers, ranks, slots, experts_count):
    """Return the map that assigns experts to the slots in turn.

    Raises InvalidShape if there are fewer slots than experts.
    """
    if ranks * slots < experts_count:
        raise exceptions.InvalidShape('there are fewer slots than experts')
    slot = numpy.arange(slots)[:, None]
    # Each further slot is shifted by one rank, so that the replicas of an
    # expert are on different ranks.
    rank = (numpy.arange(ranks) + slot) % ranks
    layer = ((slot * ranks + rank) % experts_count).T
    experts = numpy.repeat(layer[None], layers, axis=0)
    return ExpertMap(experts=experts, experts_count=experts_count)


def count_replicas(experts, experts_count):
    """Return the number of replicas of each expert of one layer."""
    return numpy.bincount(experts.ravel(), minlength=experts_count)


def find_rank_times(experts, loads, speeds):
    """Return each rank's time for one layer: its tokens divided by its speed.

    ``experts`` has the shape (ranks, slots), ``loads`` holds the tokens of
    each expert and ``speeds`` the relative speed of each rank.
    """
    shares = loads / count_replicas(experts, len(loads))
    return shares[experts].sum(axis=1) / speeds


def find_step_time(expert_map, loads, speeds):
    """Return the time of a step: the sum of each layer's slowest rank's time.

    ``loads`` has the shape (layers, experts) and is in tokens per step. The
    time is in tokens at speed 1.
    """
    return sum(
        find_rank_times(layer_experts, layer_loads, speeds).max()
        for layer_experts, layer_loads in zip(expert_map.experts, loads)
    )


def find_lower_bound(loads, speeds):
    """Return the step time of perfectly even loads, in tokens at speed 1."""
    return loads.sum() / speeds.sum()


def count_moves(old_map, new_map):
    """Return how many experts' weights each rank has to load, by rank."""
    moves = numpy.zeros(old_map.experts.shape[1], dtype=int)
    for old_layer, new_layer in zip(old_map.experts, new_map.experts):
        for rank in numpy.nonzero((old_layer != new_layer).any(axis=1))[0]:
            moves[rank] += len(set(new_layer[rank]) - set(old_layer[rank]))
    return moves
