"""Run the steps of a scenario on admission and routing in virtual time."""

import collections
import functools

from savoryyoke.admission import events as admission_events
from savoryyoke.routing import events
from savoryyoke_fakes.scenarios import clocks
from savoryyoke_fakes.scenarios import exceptions
from savoryyoke_fakes.scenarios import load_entries
from savoryyoke_fakes.scenarios import load_targets
from savoryyoke_fakes.scenarios import steps

LETTERS = 'abc'
DATA_CENTRES = {f'engine-{letter}': f'dc-{letter}' for letter in LETTERS}
REPORT_S = 0.25
# How late entries hear of a change, within the bound of propagation.
NEWS_DELAYS_S = (0.05, 2.0)
DETECTION_S = 1.0
OBSERVED_S = 2.0


class ClockLoadBacking:
    """Own three entries, three targets and their callers."""

    def __init__(self, *, seed, growth=0.5):
        self._clock = clocks.Clock(seed=seed)
        self._growth = growth
        self._targets_by_id = {}
        self._retired = []
        self._entries_by_try = {}
        self._cuts = set()
        self._placed_s_by_place = {}
        self._revision = 1
        self._out = set()
        self._traffic = []
        self._outcomes = collections.Counter()
        self._calls = 0
        self.figures = {}
        self._entries_by_id = {
            f'entry-{letter}': load_entries.Entry(
                entry_id=f'entry-{letter}',
                data_centre=f'dc-{letter}',
                clock=self._clock,
                deliver=self._deliver,
                ended=self._end_call,
            )
            for letter in LETTERS
        }

    def __enter__(self):
        peers = {f'entry-{letter}': f'dc-{letter}' for letter in LETTERS}
        for entry in self._entries_by_id.values():
            entry.learn(events.PeersChanged(data_centres_by_entry_id=peers))
        for target_id in DATA_CENTRES:
            self._start_target(target_id, incarnation=1)
        self._clock.advance(1.0)
        return self

    def __exit__(self, kind, error, trace):
        targets = (*self._retired, *self._targets_by_id.values())
        self.figures['peak'] = max(t.engine.peak for t in targets)
        self.figures.update(sorted(self._outcomes.items()))

    @functools.singledispatchmethod
    def run(self, step):
        """Carry out a step; raise ``PromiseBroken`` where one is."""
        raise exceptions.InvalidScenario(
            line=step.line,
            problem=f'{type(step).__name__} needs another backing',
        )

    @run.register
    def _(self, step: steps.StartTraffic):
        traffic = [True]
        self._traffic.append(traffic)
        self._keep_calling(traffic, 1 / step.rate_per_s)

    @run.register
    def _(self, step: steps.StopTraffic):
        for traffic in self._traffic:
            traffic[0] = False
        self._clock.advance(30.0)

    @run.register
    def _(self, step: steps.SendCalls):
        for _ in range(step.count):
            self._call()

    @run.register
    def _(self, step: steps.WaitSeconds):
        self._clock.advance(step.seconds)

    @run.register
    def _(self, step: steps.Kill):
        target = self._targets_by_id.pop(step.place)
        self._retired.append(target)
        target.engine.running.clear()
        for call_id, target_id in tuple(self._entries_by_try):
            if target_id == step.place:
                self._lose(call_id, target_id)
        gone = events.TargetUnreachable(target_id=step.place)
        self._spread(gone, delays_s=clocks.DELAYS_S)

    @run.register
    def _(self, step: steps.Restart):
        if step.place in self._targets_by_id:
            self.run(steps.Kill(line=step.line, place=step.place))
        before = [t for t in self._retired if t.target_id == step.place]
        self._start_target(
            step.place, incarnation=1 + max(t.incarnation for t in before)
        )

    @run.register
    def _(self, step: steps.TurnCold):
        self._targets_by_id[step.place].engine.turn_cold()

    @run.register
    def _(self, step: steps.Freeze):
        self._entries_by_id[step.place].freeze()

    @run.register
    def _(self, step: steps.Thaw):
        self._entries_by_id[step.place].thaw()

    @run.register
    def _(self, step: steps.Cut):
        self._cuts.add((step.place, step.other))
        entry = self._entries_by_id[step.place]
        event = events.TargetUnreachable(target_id=step.other)
        self._clock.call_after(DETECTION_S, entry.receive, entry.learn, event)

    @run.register
    def _(self, step: steps.Heal):
        for entry_id, target_id in self._cuts:
            entry = self._entries_by_id[entry_id]
            event = events.TargetReachable(target_id=target_id)
            self._clock.send(entry.receive, entry.learn, event)
        self._cuts.clear()

    @run.register
    def _(self, step: steps.Drain):
        self._placed_s_by_place[step.place] = self._clock.now_s
        target = self._targets_by_id[step.place]
        target.apply(admission_events.DrainStarted())
        leaving = events.TargetLeaving(
            target_id=step.place, incarnation=target.incarnation
        )
        self._spread(leaving)

    @run.register
    def _(self, step: steps.PublishState):
        change = self._out.add if step.state == 'out' else self._out.discard
        change(step.data_centre)
        self._revision += 1
        self._placed_s_by_place[step.data_centre] = self._clock.now_s
        self._spread(
            events.ConfigurationApplied(
                revision=self._revision, data_centres_out=frozenset(self._out)
            )
        )

    @run.register
    def _(self, step: steps.NoNewWork):
        placed_s = self._placed_s_by_place[step.place]
        end_s = max(placed_s + step.seconds, self._clock.now_s) + OBSERVED_S
        before = sum(t.started for t in self._targets_by_id.values())
        self._clock.advance(end_s - self._clock.now_s)
        last_s = max(
            (target.last_start_s or 0.0) - placed_s
            for target_id, target in self._targets_by_id.items()
            if step.place in (target_id, DATA_CENTRES[target_id])
        )
        after = sum(t.started for t in self._targets_by_id.values())
        self.figures[f'last_start_at_{step.place}_s'] = f'{max(last_s, 0):.1f}'
        if last_s > step.seconds:
            self._break(step, f'{step.place} got work after {last_s:.1f} s')
        if after == before:
            self._break(step, 'no work was started meanwhile')

    @run.register
    def _(self, step: steps.Bearable):
        targets = (*self._retired, *self._targets_by_id.values())
        overruns = [o for t in targets for o in t.engine.overruns]
        excused = sum(t.engine.excused_overruns for t in targets)
        self.figures['overruns'] = len(overruns)
        self.figures['overruns_before_noticed'] = excused
        if overruns:
            self._break(step, f'{len(overruns)} overruns: {overruns[:3]}')

    @run.register
    def _(self, step: steps.AnswersWhole):
        ended = self._outcomes.total()
        if ended != self._calls:
            self._break(step, f'{self._calls - ended} calls have no answer')

    def _break(self, step, problem):
        raise exceptions.PromiseBroken(line=step.line, problem=problem)

    def _keep_calling(self, traffic, interval_s):
        if traffic[0]:
            self._call()
            self._clock.call_after(
                interval_s, self._keep_calling, traffic, interval_s
            )

    def _call(self):
        self._calls += 1
        call_id = f'call-{self._calls}'
        entries = tuple(self._entries_by_id.values())
        entry = entries[self._calls % len(entries)]
        self._clock.send(entry.receive, entry.call, call_id)

    def _deliver(self, entry, target_id, call_id):
        target = self._targets_by_id.get(target_id)
        self._entries_by_try[call_id, target_id] = entry
        if target is None or (entry.entry_id, target_id) in self._cuts:
            self._clock.call_after(DETECTION_S, self._lose, call_id, target_id)
        else:
            self._clock.send(self._arrive, target, call_id)

    def _arrive(self, target, call_id):
        if self._targets_by_id.get(target.target_id) is target:
            target.arrive(call_id)

    def _lose(self, call_id, target_id):
        """Let the entry of a try find out that its connection broke."""
        entry = self._entries_by_try.pop((call_id, target_id), None)
        if entry is not None:
            self._clock.send(entry.receive, entry.lose, call_id)

    def _answer(self, target, call_id, refusal):
        target_id = target.target_id
        entry = self._entries_by_try.get((call_id, target_id))
        if entry is None:
            return
        if (entry.entry_id, target_id) in self._cuts:
            self._clock.call_after(DETECTION_S, self._lose, call_id, target_id)
            return
        del self._entries_by_try[call_id, target_id]
        cold = target.admission.snapshot().cold
        self._clock.send(
            entry.receive, entry.answer, target_id, call_id, refusal, cold
        )

    def _end_call(self, call_id, outcome):
        self._outcomes[outcome] += 1

    def _start_target(self, target_id, *, incarnation):
        target = load_targets.Target(
            target_id=target_id,
            incarnation=incarnation,
            clock=self._clock,
            answer=self._answer,
            growth=self._growth,
        )
        self._targets_by_id[target_id] = target
        seen = events.TargetSeen(
            target_id=target_id,
            incarnation=incarnation,
            data_centre=DATA_CENTRES[target_id],
            address=f'{target_id}:1',
        )
        self._spread(seen, delays_s=clocks.DELAYS_S)
        self._spread(
            events.TargetReachable(target_id=target_id), delays_s=(0.03, 0.05)
        )
        self._clock.call_after(REPORT_S, self._report, target)

    def _report(self, target):
        if self._targets_by_id.get(target.target_id) is not target:
            return
        target.apply(admission_events.Ticked())
        load = target.admission.snapshot()
        report = events.LoadReported(
            target_id=target.target_id,
            incarnation=target.incarnation,
            stamp_s=self._clock.now_s,
            running=load.running,
            queued=load.queued,
            limit=load.concurrency_limit,
            estimated_wait_s=load.estimated_wait_s,
            cold=load.cold,
        )
        self._spread(report, delays_s=clocks.DELAYS_S)
        self._clock.call_after(REPORT_S, self._report, target)

    def _spread(self, event, *, delays_s=NEWS_DELAYS_S):
        for entry in self._entries_by_id.values():
            target_id = getattr(event, 'target_id', None)
            if (entry.entry_id, target_id) not in self._cuts:
                self._clock.send(
                    entry.receive, entry.learn, event, delays_s=delays_s
                )
