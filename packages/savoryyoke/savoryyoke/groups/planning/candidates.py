"""Evaluate all changes of one layer that could relieve its slowest rank."""

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


def find_best_change(experts, loads, speeds):
    """Return the best change as a tuple of Replacements; () if none helps.

    ``experts`` has the shape (ranks, slots), ``loads`` holds the tokens of
    each expert and ``speeds`` the relative speed of each rank.

    The change either puts an expert of the slowest rank into a slot of
    another rank, replaces the expert of a slot of the slowest rank, or
    exchanges the experts of a slot of the slowest rank and of another rank.
    """
    times = maps.find_rank_times(experts, loads, speeds)
    if not times.any():
        return ()
    slowest = int(times.argmax())
    replica_counts = _count_replicas_by_rank(experts, len(loads))
    best_norm = _find_norms(times[None])[0] * (1 - 1e-9)
    best_change = ()
    for candidates_class in (_ReplacementCandidates, _ExchangeCandidates):
        candidates = candidates_class(
            experts=experts, replica_counts=replica_counts, slowest=slowest
        )
        if not len(candidates.rows):
            continue
        norms = _find_norms(candidates.find_times(loads, speeds, times))
        row = int(norms.argmin())
        if norms[row] < best_norm:
            best_norm, best_change = norms[row], candidates.make_change(row)
    return best_change


def _count_replicas_by_rank(experts, experts_count):
    """Return the number of replicas, of shape (experts, ranks)."""
    replica_counts = numpy.zeros((experts_count, len(experts)))
    for slot_experts in experts.T:
        numpy.add.at(
            replica_counts, (slot_experts, numpy.arange(len(experts))), 1
        )
    return replica_counts


def _find_norms(times):
    """Return a norm of each row that lies close above the row's maximum."""
    scale = times.max()
    powers = (times / scale) ** conf.NORM_EXPONENT
    return scale * powers.sum(axis=1) ** (1 / conf.NORM_EXPONENT)


class _ReplacementCandidates:
    """Enumerate the replacements of one slot's expert by another expert.

    The replaced expert must have another replica. The new expert comes from
    the slowest rank, or is any expert if the slot belongs to the slowest
    rank.

    ``rows`` holds (rank, slot, new expert) of each candidate. An array causes
    no garbage collection during a slice of the search, as one object for each
    candidate would.
    """

    def __init__(self, *, experts, replica_counts, slowest):
        self._experts = experts
        self._replica_counts = replica_counts
        self._total_counts = replica_counts.sum(axis=1)
        is_removable = self._total_counts[experts] > 1
        can_add = numpy.repeat(
            replica_counts[None, :, slowest] > 0, len(experts), 0
        )
        can_add[slowest] = True
        can_add &= replica_counts.T == 0
        self.rows = numpy.argwhere(is_removable[:, :, None] & can_add[:, None])

    def find_times(self, loads, speeds, times):
        """Return the ranks' times after each candidate, a row for each.

        ``times`` holds the ranks' times before the change.
        """
        rank, slot, added = self.rows.T
        removed = self._experts[rank, slot]
        shares = loads / self._total_counts
        share_added = loads[added] / (self._total_counts[added] + 1)
        share_removed = loads[removed] / (self._total_counts[removed] - 1)
        load_change = (
            self._replica_counts[added]
            * (share_added - shares[added])[:, None]
            + self._replica_counts[removed]
            * (share_removed - shares[removed])[:, None]
        )
        row_indexes = numpy.arange(len(self.rows))
        load_change[row_indexes, rank] += share_added - share_removed
        return times + load_change / speeds

    def make_change(self, row):
        """Return the Replacements of the candidate in ``row``."""
        rank, slot, added = self.rows[row].tolist()
        return (Replacement(rank=rank, slot=slot, expert=added),)


class _ExchangeCandidates:
    """Enumerate the exchanges between a slot of the slowest and another rank.

    ``rows`` holds (slot of the slowest rank, other rank, its slot) of each
    candidate.
    """

    def __init__(self, *, experts, replica_counts, slowest):
        self._experts = experts
        self._total_counts = replica_counts.sum(axis=1)
        self._slowest = slowest
        can_send = replica_counts[experts[slowest]] == 0
        can_send[:, slowest] = False
        can_receive = replica_counts[experts, slowest] == 0
        self.rows = numpy.argwhere(can_send[:, :, None] & can_receive[None])

    def find_times(self, loads, speeds, times):
        """Return the ranks' times after each candidate, a row for each.

        ``times`` holds the ranks' times before the change.
        """
        slowest_slot, rank, slot = self.rows.T
        shares = loads / self._total_counts
        sent = self._experts[self._slowest, slowest_slot]
        moved_load = shares[sent] - shares[self._experts[rank, slot]]
        times_after = numpy.repeat(times[None], len(self.rows), axis=0)
        times_after[:, self._slowest] -= moved_load / speeds[self._slowest]
        times_after[numpy.arange(len(self.rows)), rank] += (
            moved_load / speeds[rank]
        )
        return times_after

    def make_change(self, row):
        """Return the Replacements of the candidate in ``row``."""
        slowest_slot, rank, slot = self.rows[row].tolist()
        sent = int(self._experts[self._slowest, slowest_slot])
        received = int(self._experts[rank, slot])
        return (
            Replacement(
                rank=self._slowest, slot=slowest_slot, expert=received
            ),
            Replacement(rank=rank, slot=slot, expert=sent),
        )
