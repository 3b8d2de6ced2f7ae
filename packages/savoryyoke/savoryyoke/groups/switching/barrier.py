"""Choose the map of a step by the contributions that the ranks exchange.

The ranks exchange them in the collective operation of the step.
This part of the protocol runs inside a rank's engine. The functions are pure:
ranks that complete the same collective have the same contributions and so
choose the same map. Messages between processes don't affect the choice.
"""

import collections
import dataclasses

from savoryyoke.groups import exceptions
from savoryyoke.groups.switching import identities


@dataclasses.dataclass(frozen=True, kw_only=True)
class StepContribution:
    """Carry one rank's data in the collective of one step.

    ``offer`` is the map to which the rank can switch because it is complete
    in its spare memory, or None.
    """

    generation: identities.Generation
    step: int
    rank: int
    offer: identities.MapIdentity | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class FormationContribution:
    """Carry one rank's data in the collective that forms a group.

    ``counter`` is that of the last generation in which the rank took part.
    ``held_maps`` are the maps in the rank's memory, the active one first; it
    is empty for a rank that has just started.
    """

    rank: int
    counter: int
    nonce: int
    held_maps: tuple = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Formation:
    """Describe the generation and the map with which a group starts.

    The group runs only if ``missing_ranks`` is empty. Otherwise those ranks
    first load the map ``identity``, and then the group is formed again.
    """

    generation: identities.Generation
    identity: identities.MapIdentity
    missing_ranks: tuple


def choose_switch(contributions):
    """Return the map to switch to after a step, or None to keep the map.

    ``contributions`` holds one ``StepContribution`` of each rank. Raise
    ``BarrierViolated`` if they are of more than one step or generation.
    """
    if (
        len(
            {
                (contribution.generation, contribution.step)
                for contribution in contributions
            }
        )
        != 1
    ):
        raise exceptions.BarrierViolated('contributions of more than one step')
    offers = {contribution.offer for contribution in contributions}
    if len(offers) != 1:
        return None
    return offers.pop()


def form_group(contributions, *, declared):
    """Return the ``Formation`` for one ``FormationContribution`` of each rank.

    Its map is one that all ranks with any map hold, so that only ranks that
    have just started load weights, or else the ``declared`` map. Raise
    ``BarrierViolated`` if a rank contributed twice or rank 0 did not.
    """
    contributions_by_rank = {
        contribution.rank: contribution for contribution in contributions
    }
    if (
        len(contributions_by_rank) != len(contributions)
        or 0 not in contributions_by_rank
    ):
        raise exceptions.BarrierViolated('not one contribution of each rank')
    identity = _choose_common_map(contributions) or declared
    return Formation(
        generation=identities.Generation(
            counter=1
            + max(contribution.counter for contribution in contributions),
            nonce=contributions_by_rank[0].nonce,
        ),
        identity=identity,
        missing_ranks=tuple(
            rank
            for rank, contribution in sorted(contributions_by_rank.items())
            if identity not in contribution.held_maps
        ),
    )


def _choose_common_map(contributions):
    holders = [
        contribution
        for contribution in contributions
        if contribution.held_maps
    ]
    if not holders:
        return None
    common_maps = set.intersection(
        *(set(contribution.held_maps) for contribution in holders)
    )
    if not common_maps:
        return None
    active_counts = collections.Counter(
        contribution.held_maps[0] for contribution in holders
    )
    return max(
        common_maps,
        key=lambda identity: (active_counts[identity], identity.digest),
    )
