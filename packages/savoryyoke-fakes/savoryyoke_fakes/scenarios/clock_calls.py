"""Run the steps of a scenario on ledgers and attempts in virtual time."""

import functools

import numpy as np

from savoryyoke.calls.testing import oracle as oracles
from savoryyoke.calls.testing import world as worlds
from savoryyoke_fakes.scenarios import exceptions
from savoryyoke_fakes.scenarios import steps

SLOTS_BY_PLACE = {
    'app-a': 't0',
    'app-b': 't1',
    'app-c': 't2',
    'entry-a': 'e0',
    'entry-b': 'e1',
}
STEP_S = 0.1
SETTLE_S = 12.0
DUPLICATED_SHARE = 0.05
LOST_SHARE = 0.02
REFUSED_SHARE = 0.1
FAILURE_INTERVAL_S = 0.5


class ClockCallsBacking:
    """Own ledgers, attempts and callers; an oracle judges each answer.

    Messages are delivered in random order, some twice and some never.
    """

    def __init__(self, *, seed):
        self._generator = np.random.default_rng(seed)
        self._oracle = oracles.Oracle()
        self._world = worlds.World(oracle=self._oracle, targets=3)
        self._keys = []
        self._rates_per_s = []
        self._owed_calls = 0.0
        self._false_answer = None
        self.figures = {}

    def __enter__(self):
        self._world.advance(0.5)
        self._world.broadcast_stamps()
        return self

    def __exit__(self, kind, error, trace):
        self.figures['payments_run'] = len(self._oracle.runs_by_key)
        for name in ('Ran', 'NotRun', 'MayHaveRun'):
            self.figures[name] = self._oracle.counts[name]

    @functools.singledispatchmethod
    def run(self, step):
        """Carry out a step; raise ``PromiseBroken`` where one is.

        An oracle raises ``FalseAnswer`` as soon as one is given.
        """
        raise exceptions.InvalidScenario(
            line=step.line,
            problem=f'{type(step).__name__} needs another backing',
        )

    @run.register
    def _(self, step: steps.StartTraffic):
        self._rates_per_s.append(step.rate_per_s)

    @run.register
    def _(self, step: steps.StopTraffic):
        self._rates_per_s = []
        self._world.cuts.clear()
        for slot in tuple(self._world.inboxes_by_frozen_slot):
            self._world.thaw(slot)
        self._pass_time(SETTLE_S)

    @run.register
    def _(self, step: steps.SendCalls):
        for _ in range(step.count):
            self._pay()

    @run.register
    def _(self, step: steps.RepeatPayment):
        slot = self._get_slot(step, step.entry)
        if slot in self._world.processes_by_slot:
            self._world.call(slot, self._keys[step.number - 1])

    @run.register
    def _(self, step: steps.WaitSeconds):
        self._pass_time(step.seconds)

    @run.register
    def _(self, step: steps.FailAtRandom):
        passed_s = 0.0
        while passed_s < step.seconds:
            self._fail_at_random()
            self._pass_time(FAILURE_INTERVAL_S)
            passed_s += FAILURE_INTERVAL_S

    @run.register
    def _(self, step: steps.Kill):
        self._world.stop(self._get_slot(step, step.place))

    @run.register
    def _(self, step: steps.Restart):
        self._world.start(self._get_slot(step, step.place))

    @run.register
    def _(self, step: steps.Freeze):
        self._world.freeze(self._get_slot(step, step.place))

    @run.register
    def _(self, step: steps.Thaw):
        self._world.thaw(self._get_slot(step, step.place))

    @run.register
    def _(self, step: steps.Cut):
        slots = (step.place, step.other)
        ends = frozenset(self._get_slot(step, place) for place in slots)
        self._world.cuts.add(ends)

    @run.register
    def _(self, step: steps.Heal):
        self._world.cuts.clear()

    @run.register
    def _(self, step: steps.Drain):
        self._drain(self._get_slot(step, step.place))

    @run.register
    def _(self, step: steps.RunsOnce):
        self._expect_runs(step)

    @run.register
    def _(self, step: steps.RefusalsTrue):
        self._expect_runs(step)
        if not self._oracle.counts['NotRun']:
            self._break(step, 'no payment was refused')

    @run.register
    def _(self, step: steps.AnswersWhole):
        open_attempts = sum(
            len(self._world.processes_by_slot[slot].attempts_by_id)
            for slot in self._world.entry_ids
            if slot in self._world.processes_by_slot
        )
        if open_attempts:
            self._break(step, f'{open_attempts} attempts have no answer')

    def _expect_runs(self, step):
        # False answers were raised when they were given.
        if not self._oracle.runs_by_key:
            self._break(step, 'no payment ran')

    def _break(self, step, problem):
        raise exceptions.PromiseBroken(line=step.line, problem=problem)

    def _get_slot(self, step, place):
        if place not in SLOTS_BY_PLACE:
            raise exceptions.InvalidScenario(
                line=step.line,
                problem=f'unknown process {place}',
                expected=tuple(SLOTS_BY_PLACE),
            )
        return SLOTS_BY_PLACE[place]

    def _pass_time(self, seconds):
        for _ in range(max(1, round(seconds / STEP_S))):
            self._world.advance(STEP_S)
            self._world.broadcast_stamps()
            self._owed_calls += sum(self._rates_per_s) * STEP_S
            while self._owed_calls >= 1:
                self._owed_calls -= 1
                self._pay()
            self._deliver()
            self._serve()
            self._deliver()

    def _pay(self):
        target_id = self._pick(self._world.target_ids)
        entry_id = self._pick(self._world.entry_ids)
        suffix = f'payment-{len(self._keys) + 1}'
        key = self._world.make_key(target_id, suffix=suffix, entry_id=entry_id)
        if key is None:
            return
        self._keys.append(key)
        self._world.call(entry_id, key)

    def _deliver(self):
        """Deliver what is on its way, in any order."""
        messages = self._world.messages
        for _ in range(2 * len(messages)):
            if not messages:
                return
            index = int(self._generator.integers(len(messages)))
            draw = self._generator.random()
            if draw < LOST_SHARE:
                messages.pop(index)
            elif draw < LOST_SHARE + DUPLICATED_SHARE:
                messages.append(messages[index])
            else:
                self._world.deliver(index)

    def _serve(self):
        """Let each target that is awake run what it holds."""
        for target_id in filter(self._world.is_awake, self._world.target_ids):
            target = self._world.processes_by_slot[target_id]
            self._world.tick(target_id)
            for _ in range(len(target.queue)):
                if self._generator.random() < REFUSED_SHARE:
                    self._world.refuse(target_id)
                else:
                    self._world.hand_over(target_id)
            for _ in range(len(target.running)):
                if self._generator.random() < 0.7:
                    self._world.complete(target_id)

    def _drain(self, slot):
        others = [
            other
            for other in filter(self._world.is_awake, self._world.target_ids)
            if other != slot
        ]
        if self._world.is_awake(slot) and others:
            self._world.drain(slot, self._pick(others))

    def _fail_at_random(self):
        slots = tuple(SLOTS_BY_PLACE.values())
        slot = self._pick(slots)
        targets = self._world.target_ids
        failure = self._generator.integers(8)
        if failure == 0:
            self._world.stop(slot)
        elif failure == 1:
            self._world.start(slot)
        elif failure == 2:
            self._world.freeze(slot)
        elif failure == 3:
            self._world.thaw(slot)
        elif failure == 4:
            self._world.cuts.add(frozenset((slot, self._pick(slots))))
        elif failure == 5:
            self._world.cuts.clear()
        elif failure == 6 and slot in targets:
            self._drain(slot)
        elif self._keys and self._world.is_awake('e0'):
            self._world.call('e0', self._pick(self._keys))

    def _pick(self, items):
        return items[int(self._generator.integers(len(items)))]
