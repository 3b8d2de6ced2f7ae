"""Decide the map of a step by the words that its collective carries.

This is the part of the protocol inside a rank's engine. The functions are
pure: ranks that complete the same collective hold the same words, and so
choose the same map. Messages between processes have no part in the choice.
"""

import collections
import dataclasses

from savoryyoke.groups import exceptions
from savoryyoke.groups.switching import identities


@dataclasses.dataclass(frozen=True, kw_only=True)
class StepWord:
    """Carry what one rank says in the collective of one step.

    ``offer`` is the map that the rank holds whole in its spare memory and
    would switch to, or None.
    """

    generation: identities.Generation
    step: int
    rank: int
    offer: identities.MapIdentity | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class FormationWord:
    """Carry what one rank says in the collective that forms a group.

    ``counter`` is that of the last generation the rank took part in.
    ``held`` names the maps in the rank's memory, the active one first; it is
    empty for a rank that has just started.
    """

    rank: int
    counter: int
    nonce: int
    held: tuple = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Formation:
    """Say how a group starts.

    The group runs only if ``missing_ranks`` is empty. Otherwise those ranks
    load ``identity`` first, and the group is formed again.
    """

    generation: identities.Generation
    identity: identities.MapIdentity
    missing_ranks: tuple


def choose_switch(words):
    """Return the map to switch to after a step, or None to stay.

    ``words`` holds one word of each rank. Raises BarrierViolated if they are
    of more than one step or generation.
    """
    if len({(word.generation, word.step) for word in words}) != 1:
        raise exceptions.BarrierViolated('words of more than one step')
    offers = {word.offer for word in words}
    if len(offers) != 1:
        return None
    return offers.pop()


def form_group(words, *, declared):
    """Return the Formation that follows from one word of each rank.

    Takes a map that all ranks with any map hold, so that only ranks that
    have just started load weights. Falls back to the ``declared`` map.
    """
    by_rank = {word.rank: word for word in words}
    if len(by_rank) != len(words) or 0 not in by_rank:
        raise exceptions.BarrierViolated('not one word of each rank')
    identity = _choose_common_map(words) or declared
    return Formation(
        generation=identities.Generation(
            counter=1 + max(word.counter for word in words),
            nonce=by_rank[0].nonce,
        ),
        identity=identity,
        missing_ranks=tuple(
            rank
            for rank, word in sorted(by_rank.items())
            if identity not in word.held
        ),
    )


def _choose_common_map(words):
    holders = [word for word in words if word.held]
    if not holders:
        return None
    common = set.intersection(*(set(word.held) for word in holders))
    if not common:
        return None
    active_counts = collections.Counter(word.held[0] for word in holders)
    return max(
        common,
        key=lambda identity: (active_counts[identity], identity.digest),
    )
