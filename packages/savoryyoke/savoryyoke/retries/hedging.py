"""Decide when to start a second try while the first is still running."""

import collections
import dataclasses
import itertools

import ddsketch

from savoryyoke.retries import conf


@dataclasses.dataclass(frozen=True, kw_only=True)
class HedgeKey:
    """Identify requests that are expected to take similarly long.

    ``size_class`` is the bit length of the body size in bytes.
    """

    service_name: str
    route_name: str
    size_class: int


class _RecentTimes:
    """Store the response times of the last one or two sample windows."""

    def __init__(self):
        self._current = ddsketch.DDSketch(conf.HEDGE_SKETCH_RELATIVE_ERROR)
        self._previous = None

    def add(self, duration_s):
        self._current.add(duration_s)
        if self._current.count >= conf.HEDGE_WINDOW_SAMPLES:
            self._previous = self._current
            self._current = ddsketch.DDSketch(conf.HEDGE_SKETCH_RELATIVE_ERROR)

    def quantile_s(self):
        """Return the hedge delay in seconds; None with too few samples."""
        for sketch in (self._current, self._previous):
            if sketch and sketch.count >= conf.HEDGE_MIN_SAMPLES:
                return sketch.get_quantile_value(conf.HEDGE_QUANTILE)
        return None


class HedgeTiming:
    """Track the times to a complete answer at one entry.

    If single targets or requests are slow, a second try starts once a
    request takes longer than the ``HEDGE_QUANTILE`` of similar requests.
    If all targets are equally slow, later requests are not answered
    earlier at other targets, so no request counts as lost.
    """

    def __init__(self):
        self._times_by_key = collections.OrderedDict()
        self._latest_sent_s_by_target_by_service = collections.defaultdict(
            dict
        )
        self._running_by_number_by_service = collections.defaultdict(dict)
        self._numbers = itertools.count(1)

    def record_sent(self, key, target_id, *, sent_s):
        """Record that a request was sent; return its number."""
        number = next(self._numbers)
        running_by_number = self._running_by_number_by_service[
            key.service_name
        ]
        running_by_number[number] = (target_id, sent_s)
        return number

    def record_end(self, key, number):
        """Record that a request ended, with or without an answer."""
        del self._running_by_number_by_service[key.service_name][number]

    def record_answer(self, key, target_id, *, sent_s, response_time_s):
        """Record a complete answer to a request sent at ``sent_s``."""
        for times_key in (key, key.service_name):
            times = self._times_by_key.setdefault(times_key, _RecentTimes())
            self._times_by_key.move_to_end(times_key)
            times.add(response_time_s)
        while len(self._times_by_key) > conf.HEDGE_MAX_KEYS:
            self._times_by_key.popitem(last=False)
        latest_sent_s_by_target = self._latest_sent_s_by_target_by_service[
            key.service_name
        ]
        latest_sent_s_by_target[target_id] = max(
            latest_sent_s_by_target.get(target_id, sent_s), sent_s
        )
        if len(latest_sent_s_by_target) > conf.HEDGE_MAX_KEYS:
            del latest_sent_s_by_target[
                min(latest_sent_s_by_target, key=latest_sent_s_by_target.get)
            ]

    def delay_s(self, key, *, objective_s):
        """Return the seconds to wait before a second try starts.

        ``objective_s`` is used while there are too few samples.
        """
        for times_key in (key, key.service_name):
            times = self._times_by_key.get(times_key)
            delay_s = times.quantile_s() if times else None
            if delay_s is not None:
                return max(delay_s, conf.SHORTEST_HEDGE_DELAY_S)
        return max(objective_s, conf.SHORTEST_HEDGE_DELAY_S)

    def seems_lost(self, key, target_id, *, sent_s, delay_s, now_s):
        """Return whether a request is delayed at its target only.

        That is so if another target has answered a request that was sent
        at least ``delay_s`` later, or if no request has been waiting for
        ``delay_s`` or longer at the other targets.
        """
        latest_sent_s_by_target = self._latest_sent_s_by_target_by_service[
            key.service_name
        ]
        if any(
            latest_sent_s_by_target[other_target_id] >= sent_s + delay_s
            for other_target_id in latest_sent_s_by_target
            if other_target_id != target_id
        ):
            return True
        running_by_number = self._running_by_number_by_service[
            key.service_name
        ]
        return not any(
            other_target_id != target_id and now_s - other_sent_s >= delay_s
            for other_target_id, other_sent_s in running_by_number.values()
        )


class HedgeAllowance:
    """Limit second tries to a share of a service's requests."""

    def __init__(self):
        self._tokens = conf.HEDGE_BURST_TRIES

    def deposit(self):
        """Add the share of a second try that one request earns."""
        self._tokens = min(
            self._tokens + conf.HEDGE_SHARE, conf.HEDGE_BURST_TRIES
        )

    @property
    def has_token(self):
        """Return whether a second try is allowed now."""
        return self._tokens >= 1

    def withdraw(self):
        """Use up one second try; return False if none is allowed."""
        if not self.has_token:
            return False
        self._tokens -= 1
        return True
