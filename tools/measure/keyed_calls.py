"""Simulate callers of non-idempotent calls while processes fail."""

import collections
import dataclasses

import numpy

from savoryyoke.calls import conf
from savoryyoke.calls.ledger import events
from savoryyoke.calls import outcomes
from savoryyoke.calls.testing import oracle as oracles
from savoryyoke.calls.testing import world as worlds

STEP_S = worlds.STEP_S
CALLS_PER_TARGET_S = 2.0
SERVICE_S = 0.3
CONCURRENCY = 4
CALLER_TIMEOUT_S = 3.0
ATTEMPTS_LIMIT = 4
BACKOFF_S = 1.0
# Reasons for which overloaded or stopping targets refuse in any design.
ORDINARY_REASONS = (
    outcomes.NotRunReason.REFUSED,
    outcomes.NotRunReason.HAND_OVER_FAILED,
)


@dataclasses.dataclass(kw_only=True)
class Call:
    """Hold the state of a call over its attempts."""

    key: object
    attempt_id: str | None = None
    sent_s: float = 0.0
    next_attempt_s: float = 0.0
    attempts: int = 0
    had_unknown_outcome: bool = False


class Callers:
    """Make calls, repeat those without an answer and count the outcomes.

    ``counts`` has ``calls``, the final outcomes ``ran``, ``not_run``,
    ``may_have_run`` and ``unanswered``, and also ``ever_may_have_run`` (after
    any attempt), ``first_refused`` (first attempts refused only to guarantee
    at most one run) and ``double_runs``. Callers use a binding for up to
    ``binding_age_s`` seconds after they got it.
    """

    def __init__(self, *, seed, binding_age_s, targets=3):
        self._binding_age_s = binding_age_s
        self.generator = numpy.random.default_rng(seed)
        self.oracle = oracles.Oracle()
        self.world = worlds.World(
            oracle=self.oracle, targets=targets, limits=conf.LedgerLimits()
        )
        self.counts = collections.Counter()
        self._calls = []
        self._bindings = collections.deque()
        self._finish_times_s_by_incarnation = collections.defaultdict(
            collections.deque
        )
        self._steps = 0

    def run(self, seconds, *, arrivals=True):
        """Advance the simulation by ``seconds``."""
        for _ in range(round(seconds / STEP_S)):
            self._step(arrivals)

    def finish(self):
        """Run until the calls end; count the rest as unanswered."""
        self.run(ATTEMPTS_LIMIT * (CALLER_TIMEOUT_S + 2.0), arrivals=False)
        for call in self._calls:
            self._finish_call(call, 'unanswered')

    def refuse_queued(self, target_id):
        """Let a stopping target refuse all calls in its queue."""
        while self.world.processes_by_slot[target_id].queue:
            self.world.refuse(target_id)

    def _step(self, arrivals):
        world = self.world
        world.advance(STEP_S)
        self._steps += 1
        if self._steps % 5 == 0:
            world.broadcast_stamps()
            for target_id in filter(world.is_awake, world.target_ids):
                world.apply(target_id, events.Ticked())
        if arrivals:
            self._collect_bindings()
            self._create_calls()
        for target_id in filter(world.is_awake, world.target_ids):
            self._serve(target_id)
        world.deliver_all()
        self._read_outcomes()

    def _collect_bindings(self):
        bindings = {}
        for target_id in self.world.target_ids:
            process = self.world.processes_by_slot.get(target_id)
            entry = self.world.processes_by_slot.get('e0')
            if process is None or entry is None:
                continue
            binding = entry.routes.make_binding(
                service='payments',
                target_id=target_id,
                incarnation=process.incarnation,
            )
            if binding is not None:
                bindings[target_id] = binding
        self._bindings.append(bindings)
        while len(self._bindings) * STEP_S > self._binding_age_s:
            self._bindings.popleft()

    def _create_calls(self):
        rate = CALLS_PER_TARGET_S * len(self.world.target_ids) * STEP_S
        for _ in range(self.generator.poisson(rate)):
            age = self.generator.integers(len(self._bindings))
            bindings = self._bindings[age]
            if not bindings:
                continue
            target_id = self.generator.choice(sorted(bindings))
            self.counts['calls'] += 1
            key = bindings[target_id].bind(suffix=str(self.counts['calls']))
            self._calls.append(Call(key=key, next_attempt_s=self.world.now_s))

    def _serve(self, target_id):
        target = self.world.processes_by_slot[target_id]
        finish_times_s = self._finish_times_s_by_incarnation[
            target.incarnation
        ]
        while (
            finish_times_s
            and finish_times_s[0] <= self.world.now_s
            and target.running
        ):
            finish_times_s.popleft()
            self.world.complete(target_id)
        while target.queue and len(target.running) < CONCURRENCY:
            running_count = len(target.running)
            self.world.hand_over(target_id)
            if len(target.running) > running_count:
                finish_times_s.append(self.world.now_s + SERVICE_S)

    def _read_outcomes(self):
        now_s = self.world.now_s
        for call in tuple(self._calls):
            if call.attempt_id is None:
                if now_s >= call.next_attempt_s:
                    self._send(call)
                continue
            outcome = self.world.outcomes_by_attempt.get(call.attempt_id)
            if outcome is not None:
                self._handle_outcome(call, outcome)
            elif now_s > call.sent_s + CALLER_TIMEOUT_S:
                self._repeat_or_finish(call, BACKOFF_S, 'unanswered')

    def _send(self, call):
        live_entry_ids = [
            entry_id
            for entry_id in self.world.entry_ids
            if entry_id in self._get_running_processes()
        ]
        if not live_entry_ids:
            return
        call.attempts += 1
        call.sent_s = self.world.now_s
        call.attempt_id = self.world.call(
            live_entry_ids[self.generator.integers(len(live_entry_ids))],
            call.key,
            timeout_s=CALLER_TIMEOUT_S,
        )

    def _get_running_processes(self):
        return self.world.processes_by_slot

    def _handle_outcome(self, call, outcome):
        if isinstance(outcome, outcomes.NotRun):
            is_at_most_once_refusal = outcome.reason not in ORDINARY_REASONS
            if call.attempts == 1 and is_at_most_once_refusal:
                self.counts['first_refused'] += 1
            delay_s = outcome.retry_after_s
            self._repeat_or_finish(call, delay_s, 'not_run')
        elif isinstance(outcome, outcomes.MayHaveRun):
            call.had_unknown_outcome = True
            self._repeat_or_finish(call, BACKOFF_S, 'may_have_run')
        else:
            self._finish_call(call, 'ran')

    def _repeat_or_finish(self, call, delay_s, outcome_name):
        if call.attempts >= ATTEMPTS_LIMIT:
            self._finish_call(call, outcome_name)
            return
        call.attempt_id = None
        call.next_attempt_s = self.world.now_s + delay_s

    def _finish_call(self, call, outcome_name):
        self.counts[outcome_name] += 1
        if call.had_unknown_outcome:
            self.counts['ever_may_have_run'] += 1
        if call in self._calls:
            self._calls.remove(call)
