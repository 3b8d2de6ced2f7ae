"""Split the ranks of a large group into blocks that forward messages.

Large messages between the leader and all ranks go through the head of each
block, its first rank, so that the traffic of one VM grows with the square
root of the number of ranks.
"""

import math

from savoryyoke.groups.rollout import conf


def is_group_large(state):
    """Return whether the group of an ``EngineState`` has several blocks.

    ``state`` is None as long as the engine hasn't been observed.
    """
    return state is not None and state.ranks > conf.SMALL_GROUP_MAX_RANKS


def find_head(rank, rank_count):
    """Return the head, that is the first rank, of a rank's block.

    In a small group each rank is a block of its own.
    """
    return rank - rank % _compute_block_size(rank_count)


def find_heads(rank_count):
    """Return the heads of all blocks."""
    return range(0, rank_count, _compute_block_size(rank_count))


def find_other_members(head, rank_count):
    """Return the ranks of the block of ``head`` without ``head`` itself."""
    return range(
        head + 1, min(head + _compute_block_size(rank_count), rank_count)
    )


def _compute_block_size(rank_count):
    if rank_count <= conf.SMALL_GROUP_MAX_RANKS:
        return 1
    return math.isqrt(rank_count)
