"""Decide when a second try beside a slow one pays."""

import collections
import dataclasses
import itertools

import ddsketch

from savoryyoke.retries import conf


@dataclasses.dataclass(frozen=True, kw_only=True)
class HedgeKey:
    """Name the requests whose answers should take alike.

    ``size_class`` is the binary order of magnitude of the body.
    """

    service_name: str
    route_name: str
    size_class: int


class _RecentTimes:
    """Hold the times of the last one or two windows of answers."""

    def __init__(self):
        self._current = ddsketch.DDSketch(conf.HEDGE_TIME_ERROR)
        self._previous = None

    def note(self, took_s):
        self._current.add(took_s)
        if self._current.count >= conf.HEDGE_WINDOW:
            self._previous = self._current
            self._current = ddsketch.DDSketch(conf.HEDGE_TIME_ERROR)

    def quantile_s(self):
        """Return the quantile that hedges wait for; None with few times."""
        for sketch in (self._current, self._previous):
            if sketch and sketch.count >= conf.HEDGE_LEAST_TIMES:
                return sketch.get_quantile_value(conf.HEDGE_QUANTILE)
        return None


class HedgeTiming:
    """Own what is known of the times to a whole answer at one entry.

    Answers two loads. Where single targets or requests are slow, a second
    try begins once a request takes longer than ``HEDGE_QUANTILE`` of those
    like it. Where all targets are slow alike, requests wait at all of them
    and none is overtaken, so that none is taken for lost.
    """

    def __init__(self):
        self._times_by_key = collections.OrderedDict()
        self._answered_s_by_target_by_service = collections.defaultdict(dict)
        self._open_by_number_by_service = collections.defaultdict(dict)
        self._numbers = itertools.count(1)

    def note_begun(self, key, target_id, *, sent_s):
        """Take in a request that is under way; return its number."""
        number = next(self._numbers)
        opened = self._open_by_number_by_service[key.service_name]
        opened[number] = (target_id, sent_s)
        return number

    def note_ended(self, key, number):
        """Take in the end of a request, whatever it was."""
        del self._open_by_number_by_service[key.service_name][number]

    def note(self, key, target_id, *, sent_s, took_s):
        """Take in a whole answer to a request that was sent at ``sent_s``."""
        for known in (key, key.service_name):
            times = self._times_by_key.setdefault(known, _RecentTimes())
            self._times_by_key.move_to_end(known)
            times.note(took_s)
        while len(self._times_by_key) > conf.HEDGE_KEYS_LIMIT:
            self._times_by_key.popitem(last=False)
        answered_s = self._answered_s_by_target_by_service[key.service_name]
        answered_s[target_id] = max(answered_s.get(target_id, sent_s), sent_s)
        if len(answered_s) > conf.HEDGE_KEYS_LIMIT:
            del answered_s[min(answered_s, key=answered_s.get)]

    def delay_s(self, key, *, objective_s):
        """Return how long a request goes without a second try.

        ``objective_s`` stands in while few answers are known.
        """
        for known in (key, key.service_name):
            times = self._times_by_key.get(known)
            delay_s = times.quantile_s() if times else None
            if delay_s is not None:
                return max(delay_s, conf.HEDGE_SHORTEST_S)
        return max(objective_s, conf.HEDGE_SHORTEST_S)

    def seems_lost(self, key, target_id, *, sent_s, delay_s, now_s):
        """Return whether a target is slow while others are not.

        Others answer what was sent later, or nothing waits there for long.
        """
        answered_s = self._answered_s_by_target_by_service[key.service_name]
        if any(
            answered_s[known] >= sent_s + delay_s
            for known in answered_s
            if known != target_id
        ):
            return True
        opened = self._open_by_number_by_service[key.service_name]
        return not any(
            known != target_id and now_s - begun_s >= delay_s
            for known, begun_s in opened.values()
        )


class HedgeAllowance:
    """Bound second tries as a share of a service's requests."""

    def __init__(self):
        self._tokens = conf.HEDGE_BURST

    def deposit(self):
        """Count a request."""
        self._tokens = min(self._tokens + conf.HEDGE_SHARE, conf.HEDGE_BURST)

    @property
    def covers_one(self):
        """Return whether a second try is left."""
        return self._tokens >= 1

    def withdraw(self):
        """Take one second try; return whether there was one left."""
        if not self.covers_one:
            return False
        self._tokens -= 1
        return True
