"""Let requests wait, in order, for room at the targets of a service."""

import anyio

from savoryyoke.routing import decisions as routing_decisions
from savoryyoke_entry import conf

_WAITABLE = frozenset(
    {
        routing_decisions.NoTargetReason.ALL_COLD,
        routing_decisions.NoTargetReason.OVERLOADED,
    }
)
# Reasons that end with the next reports or the next list of targets.
_PASSING = _WAITABLE | {
    routing_decisions.NoTargetReason.ALL_OUT,
    routing_decisions.NoTargetReason.DEADLINE,
    routing_decisions.NoTargetReason.NO_TARGETS,
}


class Turns:
    """Hold the requests of one service that wait for their turn.

    Reports lag, so a target that looked full may have room a moment later;
    a short wait is better than a refusal that the caller pays with a whole
    retry interval. More important work waits in a line of its own.
    """

    def __init__(self, *, clock):
        self._clock = clock
        self._locks_by_priority = {}
        self._waiting = 0

    async def wait(self, first, choose, choose_queue, *, priority, deadline_s):
        """Return the first choice of a target, or the last refusal.

        ``first`` is the refusal that made the request wait, ``choose()``
        asks the router again, and ``choose_queue()`` asks it for a queue
        once the wait is over.
        """
        if first.reason not in _WAITABLE:
            return first
        if self._waiting >= conf.WAITING_LIMIT:
            return first
        until_s = min(self._clock() + compute_wait_s(priority), deadline_s)
        self._waiting += 1
        try:
            choice = await self._take_turn(first, choose, priority, until_s)
        finally:
            self._waiting -= 1
        if isinstance(choice, routing_decisions.NoTarget):
            return choose_queue()
        return choice

    async def _take_turn(self, first, choose, priority, until_s):
        choice = first
        lock = self._locks_by_priority.setdefault(priority, anyio.Lock())
        with anyio.move_on_at(until_s):
            async with lock:
                choice = choose()
                while isinstance(choice, routing_decisions.NoTarget):
                    await anyio.sleep(conf.TURN_POLL_S)
                    choice = choose()
        return choice


def compute_wait_s(priority):
    """Return how long work of this importance waits for room, in seconds."""
    shares = conf.WAIT_SHARES
    share = shares[max(0, min(priority, len(shares) - 1))]
    return share * conf.FIRST_TOKEN_TARGET_S


def may_find_target(refusal):
    """Tell whether a later choice may find a target, room or not now."""
    return refusal.reason in _PASSING
