"""Simulate keyed calls whose target is chosen by a hash of the key.

The hash chooses from a list of live targets that lags behind. Each target
remembers the keys that it ran. Keys name no incarnation, so a key that is
hashed to another target later is run again there.
"""

import collections
import dataclasses

import numpy
import xxhash

from tools.measure import keyed_calls

TARGET_LIST_LAG_S = 2.0


@dataclasses.dataclass(kw_only=True)
class HashedCall:
    """Hold a call and the target that is running it, if any."""

    key: int
    next_step_s: float
    target: int | None = None


class HashBinding:
    """Simulate targets and callers; count the keys that run twice."""

    def __init__(self, *, seed, targets=3):
        self.counts = collections.Counter()
        self._generator = numpy.random.default_rng(seed)
        self._now_s = 0.0
        self._remembered_keys_by_target = {i: set() for i in range(targets)}
        self._past_target_lists = collections.deque()
        self._calls = []
        self._runs_by_key = collections.Counter()

    def run(self, seconds, *, arrivals=True):
        """Advance the simulation by ``seconds``."""
        for _ in range(round(seconds / keyed_calls.STEP_S)):
            self._now_s += keyed_calls.STEP_S
            self._past_target_lists.append(
                sorted(self._remembered_keys_by_target)
            )
            while (
                len(self._past_target_lists) * keyed_calls.STEP_S
                > TARGET_LIST_LAG_S
            ):
                self._past_target_lists.popleft()
            if arrivals:
                self._create_calls()
            for call in tuple(self._calls):
                self._advance_call(call)

    def stop(self, target):
        """Stop a target; the keys that it remembers are lost."""
        self._remembered_keys_by_target.pop(target, None)

    def start(self, target):
        """Start a target that remembers no keys."""
        self._remembered_keys_by_target[target] = set()

    def finish(self):
        """Run until the calls end; count the keys that ran more than once."""
        self.run(20.0, arrivals=False)
        runs = self._runs_by_key.values()
        self.counts['double_runs'] = sum(count > 1 for count in runs)

    def _create_calls(self):
        rate = keyed_calls.CALLS_PER_TARGET_S * 3 * keyed_calls.STEP_S
        for _ in range(self._generator.poisson(rate)):
            self.counts['calls'] += 1
            call = HashedCall(
                key=self.counts['calls'], next_step_s=self._now_s
            )
            self._calls.append(call)

    def _advance_call(self, call):
        if self._now_s < call.next_step_s:
            return
        target = call.target
        call.target = None
        if call.key in self._remembered_keys_by_target.get(target, ()):
            self._calls.remove(call)
            return
        if target is not None:
            # The target has stopped since, so the caller repeats its call.
            call.next_step_s = self._now_s + keyed_calls.BACKOFF_S
            return
        target = self._choose_target(call.key)
        remembered_keys = self._remembered_keys_by_target.get(target)
        if remembered_keys is None:
            call.next_step_s = self._now_s + keyed_calls.BACKOFF_S
            return
        if call.key not in remembered_keys:
            remembered_keys.add(call.key)
            self._runs_by_key[call.key] += 1
        call.target = target
        call.next_step_s = self._now_s + keyed_calls.SERVICE_S

    def _choose_target(self, key):
        listed_targets = self._past_target_lists[0]
        return max(
            listed_targets,
            key=lambda target: xxhash.xxh64_intdigest(
                f'{target}/{key}'.encode()
            ),
        )
