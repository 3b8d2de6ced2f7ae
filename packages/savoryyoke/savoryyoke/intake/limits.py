"""Derive the limits of a process from its memory and descriptors."""

import dataclasses

from savoryyoke.intake import conf


@dataclasses.dataclass(frozen=True, kw_only=True)
class ProcessLimits:
    """Hold the limits of one process.

    ``budget_bytes`` limits all input and buffered answers together,
    ``answers_bytes`` the buffered answers. ``connections`` limits the open
    connections of callers.
    """

    budget_bytes: int
    answers_bytes: int
    connections: int


def derive_limits(*, memory_mb, max_fds):
    """Return the ``ProcessLimits`` of a process.

    Each connection of a caller may need another one to a target.
    """
    free_bytes = int(memory_mb * 1_000_000) - conf.BASE_BYTES
    budget_bytes = max(free_bytes // conf.COPIES, conf.MIN_BUDGET_BYTES)
    sockets = max_fds - conf.FILE_DESCRIPTORS - conf.OTHER_DESCRIPTORS
    return ProcessLimits(
        budget_bytes=budget_bytes,
        answers_bytes=int(budget_bytes * conf.ANSWERS_SHARE),
        connections=max(int(sockets) // 2, conf.MIN_CONNECTIONS),
    )
