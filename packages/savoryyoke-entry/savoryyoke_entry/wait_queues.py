"""Queue requests until a target of their service has capacity."""

import anyio

from savoryyoke.routing import decisions as routing_decisions
from savoryyoke_entry import conf

_WAITABLE_REASONS = frozenset(
    {
        routing_decisions.NoTargetReason.ALL_COLD,
        routing_decisions.NoTargetReason.OVERLOADED,
    }
)
# Reasons that the next load reports or the next list of targets may end.
_TEMPORARY_REASONS = _WAITABLE_REASONS | {
    routing_decisions.NoTargetReason.ALL_OUT,
    routing_decisions.NoTargetReason.DEADLINE,
    routing_decisions.NoTargetReason.NO_TARGETS,
}


class WaitQueue:
    """Queue the requests of one service that found no target.

    Load reports lag, so a target that looked full may have capacity a moment
    later. A short wait costs the caller less than a refusal, after which it
    waits for a whole retry interval. Each priority has its own queue.
    """

    def __init__(self, *, clock):
        self._clock = clock
        self._locks_by_priority = {}
        self._waiting_count = 0

    async def wait(
        self, first_refusal, choose, choose_queue, *, priority, deadline_s
    ):
        """Return the ``Choice`` of a target, or ``NoTarget``.

        ``first_refusal`` is the ``NoTarget`` that made the request wait.
        ``choose()`` repeats the router's choice. After the wait,
        ``choose_queue()`` chooses a target at which the call can queue.
        ``deadline_s`` is a monotonic time.
        """
        if first_refusal.reason not in _WAITABLE_REASONS:
            return first_refusal
        if self._waiting_count >= conf.WAITING_LIMIT_REQUESTS:
            return first_refusal
        until_s = min(self._clock() + compute_wait_s(priority), deadline_s)
        self._waiting_count += 1
        try:
            choice = await self._wait_in_order(
                first_refusal, choose, priority, until_s
            )
        finally:
            self._waiting_count -= 1
        if isinstance(choice, routing_decisions.NoTarget):
            return choose_queue()
        return choice

    async def _wait_in_order(self, first_refusal, choose, priority, until_s):
        choice = first_refusal
        lock = self._locks_by_priority.setdefault(priority, anyio.Lock())
        with anyio.move_on_at(until_s):
            async with lock:
                choice = choose()
                while isinstance(choice, routing_decisions.NoTarget):
                    await anyio.sleep(conf.WAIT_POLL_S)
                    choice = choose()
        return choice


def compute_wait_s(priority):
    """Return how long a request of ``priority`` waits, in seconds."""
    shares = conf.WAIT_SHARES
    share = shares[max(0, min(priority, len(shares) - 1))]
    return share * conf.FIRST_TOKEN_OBJECTIVE_S


def may_find_target(refusal):
    """Return whether a later choice may find a target."""
    return refusal.reason in _TEMPORARY_REASONS
