"""Evaluate all changes of one layer that could help its slowest rank."""

import dataclasses

import numpy

from savoryyoke.groups.planning import conf
from savoryyoke.groups.planning import maps


@dataclasses.dataclass(frozen=True, kw_only=True)
class Replacement:
    """Put ``expert`` into one slot of ``rank``."""

    rank: int
    slot: int
    expert: int


def improve(experts, loads, speeds):
    """Return the best change as a tuple of Replacements, or an empty one.

    Considers replacing a slot by an expert of the slowest rank, replacing a
    slot of that rank, and exchanging one of its slots for another rank's.
    """
    times = maps.find_rank_times(experts, loads, speeds)
    if not times.any():
        return ()
    slowest = int(times.argmax())
    best = _measure(times[None])[0] * (1 - 1e-9)
    chosen = ()
    for list_changes in (_list_replacements, _list_exchanges):
        changes, new_times = list_changes(
            experts, loads, speeds, times, slowest
        )
        if not changes:
            continue
        norms = _measure(new_times)
        place = int(norms.argmin())
        if norms[place] < best:
            best, chosen = norms[place], changes[place]
    return chosen


def _measure(times):
    """Return a norm of each row that lies close above its maximum."""
    scale = times.max()
    powers = (times / scale) ** conf.NORM_EXPONENT
    return scale * powers.sum(axis=1) ** (1 / conf.NORM_EXPONENT)


def _list_replacements(experts, loads, speeds, times, slowest):
    """Replace a slot whose expert has another replica by another expert."""
    counts = maps.count_replicas(experts, len(loads))
    holds = numpy.zeros((len(loads), len(experts)))
    ranks = numpy.arange(len(experts))
    for slot in experts.T:
        numpy.add.at(holds, (slot, ranks), 1)
    spare = [
        (rank, slot)
        for rank, slot in numpy.argwhere(counts[experts] > 1).tolist()
    ]
    pairs = [
        (rank, slot, expert)
        for rank, slot in spare
        for expert in _list_newcomers(experts, loads, rank, slowest)
        if not holds[expert, rank]
    ]
    if not pairs:
        return [], None
    rank, slot, added = numpy.array(pairs).T
    removed = experts[rank, slot]
    rows = numpy.arange(len(pairs))
    share_after_adding = loads[added] / (counts[added] + 1)
    share_after_removing = loads[removed] / (counts[removed] - 1)
    change = (
        holds[added]
        * (share_after_adding - loads[added] / counts[added])[:, None]
    )
    change += (
        holds[removed]
        * (share_after_removing - loads[removed] / counts[removed])[:, None]
    )
    change[rows, rank] += share_after_adding - share_after_removing
    changes = [
        (Replacement(rank=each[0], slot=each[1], expert=each[2]),)
        for each in pairs
    ]
    return changes, times + change / speeds


def _list_newcomers(experts, loads, rank, slowest):
    if rank == slowest:
        return range(len(loads))
    return set(experts[slowest].tolist())


def _list_exchanges(experts, loads, speeds, times, slowest):
    """Exchange a slot of the slowest rank for a slot of another rank."""
    shares = loads / maps.count_replicas(experts, len(loads))
    rows_by_rank = [set(row) for row in experts.tolist()]
    own = experts[slowest].tolist()
    pairs = [
        (own_slot, rank, slot)
        for own_slot, given in enumerate(own)
        for rank, row in enumerate(experts.tolist())
        if rank != slowest and given not in rows_by_rank[rank]
        for slot, taken in enumerate(row)
        if taken not in rows_by_rank[slowest]
    ]
    if not pairs:
        return [], None
    own_slot, rank, slot = numpy.array(pairs).T
    gain = shares[experts[slowest, own_slot]] - shares[experts[rank, slot]]
    new_times = numpy.repeat(times[None], len(pairs), axis=0)
    new_times[:, slowest] -= gain / speeds[slowest]
    new_times[numpy.arange(len(pairs)), rank] += gain / speeds[rank]
    changes = [
        (
            Replacement(rank=slowest, slot=each[0], expert=taken),
            Replacement(rank=each[1], slot=each[2], expert=own[each[0]]),
        )
        for each, taken in zip(pairs, experts[rank, slot].tolist())
    ]
    return changes, new_times
