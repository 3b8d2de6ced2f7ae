"""Split the ranks of a large group into blocks that pass messages on.

What all ranks tell the leader, or the leader all ranks, goes through the
first rank of each block where it is bulky, so that the traffic of one VM
grows with the square root of the group.
"""

import math

from savoryyoke.groups.rollout import conf


def find_head(rank, ranks):
    """Return the first rank of a rank's block.

    Each rank of a small group is a block of its own.
    """
    return rank - rank % _find_size(ranks)


def find_heads(ranks):
    """Return the first ranks of all blocks."""
    return range(0, ranks, _find_size(ranks))


def find_others(head, ranks):
    """Return the other ranks of the block that ``head`` is the first of."""
    return range(head + 1, min(head + _find_size(ranks), ranks))


def _find_size(ranks):
    if ranks <= conf.SMALL_GROUP_RANKS:
        return 1
    return math.isqrt(ranks)
