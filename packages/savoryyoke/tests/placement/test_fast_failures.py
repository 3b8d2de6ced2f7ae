"""Play the load of a service of which one target fails requests quickly."""

import heapq
import itertools
import random
import unittest

from savoryyoke.placement import conf
from savoryyoke.placement import decisions
from savoryyoke.placement import dispatcher
from savoryyoke.placement import events
from savoryyoke.placement import models
from savoryyoke.placement import pool

from tests.placement import test_dispatcher

_Result = models.TryResult
TARGETS = 4
SLOTS = 6
REQUESTS_PER_S = 60
DURATION_S = 8.0
WORK_S = 0.02
# A target that fails at once may have sent the head of its answer.
HEAD_S = 0.001
FAILURE_S = 0.003


class Load:
    """Send requests to four targets of which t0 fails all at once."""

    def __init__(self, *, result, seed):
        self._result = result
        self._random = random.Random(seed)
        self._dispatcher = dispatcher.Dispatcher(
            pool=pool.TargetPool(
                policy=conf.PlacementPolicy(),
                is_engine=False,
                own_data_centre='dc-a',
                random_fraction=self._random.random,
            ),
            random_fraction=self._random.random,
        )
        self._numbers = itertools.count()
        self._due = []
        self.counts_by_target_id = {
            f't{number}': 0 for number in range(TARGETS)
        }

    def play(self):
        """Return the share of the requests that reach the failing target."""
        self._apply(
            events.TargetsChanged(
                targets=tuple(
                    test_dispatcher.build_target(number, slots=SLOTS)
                    for number in range(TARGETS)
                )
            ),
            0.0,
        )
        now_s = 0.0
        while now_s < DURATION_S:
            now_s += self._random.expovariate(REQUESTS_PER_S)
            while self._due and self._due[0][0] <= now_s:
                end_s, _, event = heapq.heappop(self._due)
                self._apply(event, end_s)
            self._apply(
                events.RequestArrived(
                    request_id=str(next(self._numbers)),
                    is_on_time=True,
                    priority=1,
                    wait_until_s=now_s + 0.2,
                    time_left_s=1.5,
                ),
                now_s,
            )
        total = sum(self.counts_by_target_id.values())
        return self.counts_by_target_id['t0'] / total

    def _apply(self, event, now_s):
        for decision in self._dispatcher.apply(event, now_s=now_s):
            if isinstance(decision, decisions.Place):
                self._run(decision.target.target_id, now_s)

    def _run(self, target_id, now_s):
        self.counts_by_target_id[target_id] += 1
        result, latency_s, took_s = self._result, HEAD_S, FAILURE_S
        if target_id != 't0':
            result = _Result.ANSWERED
            latency_s = took_s = WORK_S * self._random.uniform(0.8, 1.2)
        event = events.TryEnded(
            target_id=target_id,
            incarnation=1,
            result=result,
            latency_s=latency_s,
            service_time_s=took_s if result is _Result.ANSWERED else None,
        )
        heapq.heappush(self._due, (now_s + took_s, next(self._numbers), event))


class FastFailureTests(unittest.TestCase):
    RESULTS = (
        _Result.BROKEN,
        _Result.FAILED,
        _Result.REFUSED,
        _Result.TIMED_OUT,
    )

    def test_failing_target_gets_less_than_its_share(self):
        for result in self.RESULTS:
            for seed in range(3):
                with self.subTest(result=result, seed=seed):
                    share = Load(result=result, seed=seed).play()
                    self.assertLess(share, 1 / TARGETS)

    def test_sound_targets_share_the_load(self):
        load = Load(result=_Result.BROKEN, seed=1)
        load.play()
        counts = sorted(load.counts_by_target_id.values())[1:]
        self.assertLess(counts[-1], 2 * counts[0])


if __name__ == '__main__':
    unittest.main()
