"""Store the rate limits that targets state in their answers."""

import collections
import dataclasses

from savoryyoke.placement import conf
from savoryyoke.placement import notices


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Statement:
    """Hold what a target stated last, and when that was received.

    ``limit_per_s`` is None if the target no longer states a limit.
    """

    limit_per_s: float | None
    heard_s: float


class RateLimits:
    """Own the rate limits of one service's targets, by incarnation.

    A rate limit is the number of requests per second that a target takes from
    all entries together. It holds from the answer that states it until an
    answer without it.
    """

    def __init__(self):
        self._statements_by_key = collections.OrderedDict()

    def limit_per_s(self, target):
        """Return the rate limit of a target, or None without one."""
        statement = self._statements_by_key.get(notices.build_key(target))
        return None if statement is None else statement.limit_per_s

    def limited_count(self):
        """Return how many incarnations of targets have a rate limit."""
        return sum(
            statement.limit_per_s is not None
            for statement in self._statements_by_key.values()
        )

    def record_answer(self, target, *, limit_per_s, asked_s, now_s):
        """Record the limit in an answer to a request sent at ``asked_s``.

        ``limit_per_s`` is None for an answer that states no limit. Answers
        can overtake each other, so an answer whose request was sent before the
        last statement arrived can lower the limit but neither raise nor end
        it. The end takes effect only if the request was sent
        ``RATE_LIMIT_END_S`` after the last statement, because some kinds of
        answers may lack the statement.
        """
        current = self._statements_by_key.get(notices.build_key(target))
        if current is None or current.limit_per_s is None:
            if limit_per_s is not None:
                self._put(target, limit_per_s, now_s)
            return
        if limit_per_s is None:
            if asked_s >= current.heard_s + conf.RATE_LIMIT_END_S:
                self._put(target, None, now_s)
        elif limit_per_s <= current.limit_per_s or asked_s >= current.heard_s:
            self._put(target, limit_per_s, now_s)

    def _put(self, target, limit_per_s, now_s):
        notices.put_newest(
            self._statements_by_key,
            notices.build_key(target),
            _Statement(limit_per_s=limit_per_s, heard_s=now_s),
        )
