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
    holds = _find_holds(experts, len(loads))
    best = _measure(times[None])[0] * (1 - 1e-9)
    chosen = ()
    for kind in (_Replacements, _Exchanges):
        found = kind(experts=experts, holds=holds, slowest=slowest)
        if not len(found.places):
            continue
        norms = _measure(found.find_times(loads, speeds, times))
        place = int(norms.argmin())
        if norms[place] < best:
            best, chosen = norms[place], found.choose(place)
    return chosen


def _find_holds(experts, experts_count):
    """Return how often each rank holds each expert, by expert and rank."""
    holds = numpy.zeros((experts_count, len(experts)))
    for slot in experts.T:
        numpy.add.at(holds, (slot, numpy.arange(len(experts))), 1)
    return holds


def _measure(times):
    """Return a norm of each row that lies close above its maximum."""
    scale = times.max()
    powers = (times / scale) ** conf.NORM_EXPONENT
    return scale * powers.sum(axis=1) ** (1 / conf.NORM_EXPONENT)


class _Replacements:
    """Replace a slot whose expert has another replica by another expert.

    ``places`` holds (rank, slot, new expert) in each row. Arrays rather than
    objects for each candidate keep the garbage collector out of a slice.
    """

    def __init__(self, *, experts, holds, slowest):
        self._experts = experts
        self._holds = holds
        self._counts = holds.sum(axis=1)
        spare = self._counts[experts] > 1
        newcomers = numpy.repeat(holds[None, :, slowest] > 0, len(experts), 0)
        newcomers[slowest] = True
        newcomers &= holds.T == 0
        self.places = numpy.argwhere(spare[:, :, None] & newcomers[:, None])

    def find_times(self, loads, speeds, times):
        """Return the ranks' times after each candidate, a row for each."""
        rank, slot, added = self.places.T
        removed = self._experts[rank, slot]
        shares = loads / self._counts
        share_added = loads[added] / (self._counts[added] + 1)
        share_removed = loads[removed] / (self._counts[removed] - 1)
        change = (
            self._holds[added] * (share_added - shares[added])[:, None]
            + self._holds[removed] * (share_removed - shares[removed])[:, None]
        )
        rows = numpy.arange(len(self.places))
        change[rows, rank] += share_added - share_removed
        return times + change / speeds

    def choose(self, place):
        """Return the Replacements of the candidate at ``place``."""
        rank, slot, added = self.places[place].tolist()
        return (Replacement(rank=rank, slot=slot, expert=added),)


class _Exchanges:
    """Exchange a slot of the slowest rank for a slot of another rank.

    ``places`` holds (own slot, other rank, its slot) in each row.
    """

    def __init__(self, *, experts, holds, slowest):
        self._experts = experts
        self._counts = holds.sum(axis=1)
        self._slowest = slowest
        given_fits = holds[experts[slowest]] == 0
        given_fits[:, slowest] = False
        taken_fits = holds[experts, slowest] == 0
        self.places = numpy.argwhere(given_fits[:, :, None] & taken_fits[None])

    def find_times(self, loads, speeds, times):
        """Return the ranks' times after each candidate, a row for each."""
        own_slot, rank, slot = self.places.T
        shares = loads / self._counts
        given = self._experts[self._slowest, own_slot]
        gain = shares[given] - shares[self._experts[rank, slot]]
        found = numpy.repeat(times[None], len(self.places), axis=0)
        found[:, self._slowest] -= gain / speeds[self._slowest]
        found[numpy.arange(len(self.places)), rank] += gain / speeds[rank]
        return found

    def choose(self, place):
        """Return the Replacements of the candidate at ``place``."""
        own_slot, rank, slot = self.places[place].tolist()
        given = int(self._experts[self._slowest, own_slot])
        taken = int(self._experts[rank, slot])
        return (
            Replacement(rank=self._slowest, slot=own_slot, expert=taken),
            Replacement(rank=rank, slot=slot, expert=given),
        )
