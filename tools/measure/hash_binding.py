"""Run keyed calls with a hash over the targets believed to be alive.

Each target remembers the keys that it ran; there are no incarnations, so
that a key whose hash moves finds a target that does not remember it.
"""

import collections
import dataclasses

import numpy
import xxhash

from tools.measure import keyed_calls

BELIEF_LAG_S = 2.0


@dataclasses.dataclass(kw_only=True)
class HashedCall:
    """Hold a caller's call and the target that has it."""

    key: int
    next_s: float
    target: int | None = None


class HashBinding:
    """Hold the targets, the callers' calls and the count of double runs."""

    def __init__(self, *, seed, targets=3):
        self.counts = collections.Counter()
        self._generator = numpy.random.default_rng(seed)
        self._now_s = 0.0
        self._remembered_by_target = {i: set() for i in range(targets)}
        self._beliefs = collections.deque()
        self._calls = []
        self._runs_by_key = collections.Counter()

    def run(self, seconds, *, arrivals=True):
        """Let time pass."""
        for _ in range(round(seconds / keyed_calls.STEP_S)):
            self._now_s += keyed_calls.STEP_S
            self._beliefs.append(sorted(self._remembered_by_target))
            while len(self._beliefs) * keyed_calls.STEP_S > BELIEF_LAG_S:
                self._beliefs.popleft()
            if arrivals:
                self._arrive()
            for call in tuple(self._calls):
                self._step(call)

    def stop(self, target):
        """Let a target die with what it remembers."""
        self._remembered_by_target.pop(target, None)

    def start(self, target):
        """Start a target anew."""
        self._remembered_by_target[target] = set()

    def finish(self):
        """Let all calls end; count the keys that ran more than once."""
        self.run(20.0, arrivals=False)
        runs = self._runs_by_key.values()
        self.counts['double_runs'] = sum(count > 1 for count in runs)

    def _arrive(self):
        rate = keyed_calls.CALLS_PER_TARGET_S * 3 * keyed_calls.STEP_S
        for _ in range(self._generator.poisson(rate)):
            self.counts['calls'] += 1
            call = HashedCall(key=self.counts['calls'], next_s=self._now_s)
            self._calls.append(call)

    def _step(self, call):
        if self._now_s < call.next_s:
            return
        target = call.target
        call.target = None
        if call.key in self._remembered_by_target.get(target, ()):
            self._calls.remove(call)
            return
        if target is not None:
            # The connection broke: the caller repeats its call.
            call.next_s = self._now_s + keyed_calls.BACKOFF_S
            return
        target = self._choose(call.key)
        memory = self._remembered_by_target.get(target)
        if memory is None:
            call.next_s = self._now_s + keyed_calls.BACKOFF_S
            return
        if call.key not in memory:
            memory.add(call.key)
            self._runs_by_key[call.key] += 1
        call.target = target
        call.next_s = self._now_s + keyed_calls.SERVICE_S

    def _choose(self, key):
        believed = self._beliefs[0]
        return max(
            believed,
            key=lambda target: xxhash.xxh64_intdigest(
                f'{target}/{key}'.encode()
            ),
        )
