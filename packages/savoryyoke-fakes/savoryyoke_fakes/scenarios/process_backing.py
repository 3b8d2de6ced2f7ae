"""Run the steps of a scenario with real processes on loopback."""

import functools
import random
import time

from savoryyoke_fakes import fleets
from savoryyoke_fakes.scenarios import configurations
from savoryyoke_fakes.scenarios import disorder
from savoryyoke_fakes.scenarios import exceptions
from savoryyoke_fakes.scenarios import judging
from savoryyoke_fakes.scenarios import steps
from savoryyoke_fakes.scenarios import traffic
from savoryyoke_fakes.scenarios import workloads

POLL_S = 0.05
WAIT_S = 60.0
FAILURE_S = (0.5, 2.0)
INVALID_TEXT = 'schema_version: 1\nteams: {}\n'
DAEMONS = tuple(place.vm_id for place in fleets.ENTRIES + fleets.TARGETS)
ENTRY_IDS = tuple(place.vm_id for place in fleets.ENTRIES)
PLACES = (
    'platform',
    *DAEMONS,
    *(f'{place.vm_id}.backend' for place in fleets.TARGETS),
)


class ProcessBacking:
    """Own a fleet, its callers and what was seen of them.

    Use it as a context manager; ``run`` takes one step. The seed draws
    the random failures only: the kernel orders the processes' messages.
    """

    def __init__(self, *, seed):
        self._random = random.Random(seed)
        self._fleet = fleets.Fleet()
        self._callers = traffic.Callers(
            find_addresses=self._find_entry_addresses
        )
        self._watch = configurations.Watch(fleet=self._fleet, vm_ids=DAEMONS)
        self._base = configurations.Base()
        self._work = workloads.Workloads(fleet=self._fleet)
        self._revision = None
        self._changed_s = 0.0
        self._placed_s_by_place = {}
        self.figures = {}

    def __enter__(self):
        self._fleet.__enter__()
        self._revision = self._fleet.publish('base', self._base.render())
        self._changed_s = time.monotonic()
        self._await_in_force(WAIT_S)
        self._watch.start()
        return self

    def __exit__(self, kind, error, trace):
        self._callers.close()
        self._watch.stop()
        self._fleet.close()

    @functools.singledispatchmethod
    def run(self, step):
        """Carry out a step; raise ``PromiseBroken`` where one is."""
        raise exceptions.InvalidScenario(
            line=step.line,
            problem=f'{type(step).__name__} needs another backing',
        )

    @run.register
    def _(self, step: steps.StartTraffic):
        self._callers.start(
            kind=step.kind, team=step.team, rate_per_s=step.rate_per_s
        )

    @run.register
    def _(self, step: steps.StopTraffic):
        self._callers.stop()
        self.figures.update(judging.count_verdicts(self._callers.calls))

    @run.register
    def _(self, step: steps.SendCalls):
        for _ in range(step.count):
            self._callers.send(kind=step.kind, team=step.team)

    @run.register
    def _(self, step: steps.RepeatPayment):
        address = self._fleet.addresses_by_name[step.entry]
        self._callers.repeat_payment(step.number, address=address)

    @run.register
    def _(self, step: steps.Kill):
        self._work.note_runs_of(step.place)
        self._get_process(step).kill()

    @run.register
    def _(self, step: steps.Freeze):
        self._watch.frozen.add(step.place)
        self._get_process(step).freeze()

    @run.register
    def _(self, step: steps.Thaw):
        self._get_process(step).thaw()
        self._watch.frozen.discard(step.place)

    @run.register
    def _(self, step: steps.Restart):
        self._work.note_runs_of(step.place)
        self._get_process(step).kill()
        if step.place.endswith('.backend'):
            self._fleet.start_backend(step.place.removesuffix('.backend'))
        elif step.place in ENTRY_IDS:
            self._fleet.start_entry(step.place)
        else:
            self._fleet.start_target(step.place)

    @run.register
    def _(self, step: steps.FailAtRandom):
        end_s = time.monotonic() + step.seconds
        while time.monotonic() < end_s:
            pairs = disorder.draw_pair(self._random, line=step.line)
            self._count_failures(pairs)
            for failure, _ in pairs:
                self.run(failure)
            time.sleep(self._random.uniform(*FAILURE_S))
            for _, mending in pairs:
                self.run(mending)

    @run.register
    def _(self, step: steps.Drain):
        self._placed_s_by_place[step.place] = time.monotonic()
        self._get_process(step).terminate()

    @run.register
    def _(self, step: steps.ListLeaving):
        self._placed_s_by_place[step.place] = time.monotonic()
        self._fleet.mark_leaving(step.place)

    @run.register
    def _(self, step: steps.ListLive):
        self._fleet.mark_live(step.place)

    @run.register
    def _(self, step: steps.SetFault):
        self._fleet.set_backend_faults(step.place, **{step.fault: step.number})

    @run.register
    def _(self, step: steps.PlatformState):
        if step.state in ('down', 'back'):
            self._fleet.set_platform_down(step.state == 'down')
        else:
            self._fleet.set_stale(step.state == 'stale')
        if step.state in ('back', 'current'):
            self._changed_s = time.monotonic()

    @run.register
    def _(self, step: steps.PublishTeam):
        self._base.add_team(step.team)
        self._publish()

    @run.register
    def _(self, step: steps.PublishState):
        self._base.set_state(step.data_centre, step.state)
        self._publish()
        self._placed_s_by_place[step.data_centre] = self._changed_s

    @run.register
    def _(self, step: steps.PublishInvalid):
        self._fleet.publish('base', INVALID_TEXT)

    @run.register
    def _(self, step: steps.WaitSeconds):
        time.sleep(step.seconds)

    @run.register
    def _(self, step: steps.WaitEnded):
        _wait_until(
            lambda: self._callers.count_ended() >= step.count, step=step
        )

    @run.register
    def _(self, step: steps.WaitReady):
        self._fleet.wait_until_ready()

    @run.register
    def _(self, step: steps.AnswersWhole):
        _expect(step, judging.find_unanswered(self._callers.calls))

    @run.register
    def _(self, step: steps.AllServed):
        _expect(step, judging.find_unserved(self._callers.calls))

    @run.register
    def _(self, step: steps.RunsOnce):
        runs = self._work.count_runs()
        self.figures['payments_run'] = len(runs)
        _expect(step, judging.find_double_runs(self._callers.calls, runs))

    @run.register
    def _(self, step: steps.RefusalsTrue):
        runs = self._work.count_runs()
        _expect(step, judging.find_false_refusals(self._callers.calls, runs))

    @run.register
    def _(self, step: steps.NoNewWork):
        placed_s = self._placed_s_by_place.get(step.place)
        if placed_s is None:
            raise exceptions.InvalidScenario(
                line=step.line,
                problem=f'nothing was done to {step.place} before',
            )
        last_s, elsewhere = self._work.find_last_start(
            step.place, since_s=placed_s, bound_s=step.seconds
        )
        self.figures[f'last_start_at_{step.place}_s'] = f'{last_s:.1f}'
        self.figures['started_elsewhere'] = elsewhere
        if last_s > step.seconds:
            _expect(step, [f'{step.place} got work after {last_s:.1f} s'])
        if not elsewhere:
            _expect(step, ['no work was started elsewhere meanwhile'])

    @run.register
    def _(self, step: steps.InForce):
        elapsed_s, missing = self._await_in_force(step.seconds)
        self.figures['in_force_s'] = f'{elapsed_s:.1f}'
        _expect(step, missing)

    @run.register
    def _(self, step: steps.NeverOlder):
        self.figures['revision_samples'] = self._watch.samples
        problems = list(self._watch.reversions)
        if not self._watch.samples:
            problems.append('no revision was sampled')
        _expect(step, problems)

    @run.register
    def _(self, step: steps.RefusedFile):
        def is_reported():
            statuses = self._watch.read_all()
            return all(
                statuses[vm_id].get('refused_revisions')
                for vm_id in ENTRY_IDS
                if vm_id in statuses
            )

        _wait_until(is_reported, step=step, limit_s=step.seconds)

    @run.register
    def _(self, step: steps.CleanExit):
        process = self._get_process(step)
        status = process.wait()
        self.figures['exit_status'] = status
        if status != 0:
            _expect(step, [f'{step.place} ended with status {status}'])
        last = process.wait_for_event('drain_finished')
        # Targets count calls as unfinished, entries as in flight.
        if '0' not in (last.get('unfinished'), last.get('in_flight')):
            _expect(step, [f'{step.place} left calls unfinished: {last}'])

    def _count_failures(self, pairs):
        count = self.figures.get('failures', 0)
        self.figures['failures'] = count + len(pairs)

    def _publish(self):
        self._revision = self._fleet.publish('base', self._base.render())
        self._changed_s = time.monotonic()

    def _await_in_force(self, bound_s):
        """Return the seconds that passed and what is still missing."""
        wanted = str(self._revision)
        while True:
            missing = [
                f'{vm_id} has {status.get("revision")}, not {wanted}'
                for vm_id, status in self._watch.read_all().items()
                if str(status.get('revision')).split('.')[0] != wanted
            ]
            elapsed_s = time.monotonic() - self._changed_s
            if not missing or elapsed_s > bound_s:
                return elapsed_s, missing
            time.sleep(POLL_S)

    def _get_process(self, step):
        if step.place not in PLACES:
            raise exceptions.InvalidScenario(
                line=step.line,
                problem=f'unknown process {step.place}',
                expected=PLACES,
            )
        return self._fleet.processes_by_name[step.place]

    def _find_entry_addresses(self):
        """Return the running entries; a frozen one still counts."""
        return self._fleet.entry_addresses


def _expect(step, problems):
    if problems:
        shown = '; '.join(problems[:5])
        raise exceptions.PromiseBroken(
            line=step.line, problem=f'{len(problems)} found: {shown}'
        )


def _wait_until(condition, *, step, limit_s=WAIT_S):
    deadline_s = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() > deadline_s:
            _expect(step, [f'not reached in {limit_s} s'])
        time.sleep(POLL_S)
