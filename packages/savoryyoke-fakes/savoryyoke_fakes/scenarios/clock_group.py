"""Run the steps of a scenario on a group that changes its expert map."""

import functools

import numpy as np

from savoryyoke.groups.switching import agent as agents
from savoryyoke.groups.switching import barrier
from savoryyoke.groups.switching import decisions
from savoryyoke.groups.switching import driver as drivers
from savoryyoke.groups.switching import events
from savoryyoke.groups.switching import identities
from savoryyoke_fakes.scenarios import exceptions
from savoryyoke_fakes.scenarios import group_ranks
from savoryyoke_fakes.scenarios import steps

RANKS = 8
PLACES = tuple(f'rank-{number}' for number in range(RANKS))
DECLARED = identities.MapIdentity(digest=0)
TURNS_PER_S = 1000
FAILURE_INTERVAL_S = 1.0
MENDED_SHARE = 0.7
LOST_SHARE = 0.1
DUPLICATED_SHARE = 0.1
LOAD_FAILS_SHARE = 0.1
_REQUEST_KINDS = {
    decisions.PrepareRank: events.PrepareReceived,
    decisions.AbandonRank: events.AbandonReceived,
    decisions.QueryRank: events.QueryReceived,
}


class ClockGroupBacking:
    """Own the ranks of a group, a driver and the messages between them.

    In each turn one rank drawn at random does what it can do; messages
    cross, come twice or never.
    """

    def __init__(self, *, seed, agent_class=agents.RankAgent):
        self._generator = np.random.default_rng(seed)
        self._now_s = 0.0
        self._driver = drivers.GroupDriver(nonce=1)
        self._messages = []
        self._ranks = [
            group_ranks.Rank(
                number=number, answer=self._answer, agent_class=agent_class
            )
            for number in range(RANKS)
        ]
        self._words_by_step = {}
        self._maps_by_step = {}
        self._nonce = 0
        self.figures = {'steps': 0, 'changes': 0, 'formations': 0}

    def __enter__(self):
        self._pass_time(1.0)
        return self

    def __exit__(self, kind, error, trace):
        self.figures['steps'] = len(self._maps_by_step)

    @functools.singledispatchmethod
    def run(self, step):
        """Carry out a step; raise ``PromiseBroken`` where one is."""
        raise exceptions.InvalidScenario(
            line=step.line,
            problem=f'{type(step).__name__} needs another backing',
        )

    @run.register
    def _(self, step: steps.WaitSeconds):
        self._pass_time(step.seconds)

    @run.register
    def _(self, step: steps.PublishMap):
        self._tell_driver(events.MapProposed(digest=step.digest))

    @run.register
    def _(self, step: steps.Kill):
        self._get_rank(step).kill_engine()

    @run.register
    def _(self, step: steps.Restart):
        self._get_rank(step).start_engine()

    @run.register
    def _(self, step: steps.Freeze):
        self._get_rank(step).is_frozen = True

    @run.register
    def _(self, step: steps.Thaw):
        self._get_rank(step).is_frozen = False

    @run.register
    def _(self, step: steps.FailAtRandom):
        for _ in range(round(step.seconds / FAILURE_INTERVAL_S)):
            self._fail_at_random()
            self._pass_time(FAILURE_INTERVAL_S)
        self._mend()

    @run.register
    def _(self, step: steps.OneMap):
        mixed = [
            f'step {key[1]} used {sorted(m.digest for m in maps)}'
            for key, maps in self._maps_by_step.items()
            if len(maps) > 1
        ]
        problem = None
        if mixed:
            problem = f'{len(mixed)} mixed steps: {mixed[:3]}'
        elif not self.figures['changes']:
            problem = 'no change of map took place'
        if problem:
            raise exceptions.PromiseBroken(line=step.line, problem=problem)

    def _get_rank(self, step):
        if step.place not in PLACES:
            raise exceptions.InvalidScenario(
                line=step.line,
                problem=f'unknown rank {step.place}',
                expected=PLACES,
            )
        return self._ranks[PLACES.index(step.place)]

    def _pass_time(self, seconds):
        for _ in range(round(seconds * TURNS_PER_S)):
            self._now_s += 1 / TURNS_PER_S
            rank = self._ranks[self._draw(RANKS)]
            if rank.is_up and not rank.is_frozen:
                succeeds = self._generator.random() >= LOAD_FAILS_SHARE
                rank.work(load_succeeds=succeeds, now_s=self._now_s)
                self._run_step(rank)
            self._deliver()
            self._form()
            if self._draw(TURNS_PER_S // 4) == 0:
                self._tell_driver(events.TimePassed())

    def _run_step(self, rank):
        state = rank.state
        if state.generation is None:
            return
        if any(
            peer.state.generation != state.generation or not peer.is_up
            for peer in self._ranks
        ):
            rank.keep(rank.engine.leave_generation())
        elif state.contribution is None:
            key = (state.generation, state.step)
            self._maps_by_step.setdefault(key, set()).add(state.active)
            word = rank.engine.contribute()
            self._words_by_step.setdefault(key, []).append(word)
        else:
            words = self._words_by_step[state.generation, state.step]
            if len(words) == RANKS:
                rank.keep(rank.engine.complete(tuple(words)))

    def _form(self):
        if not all(rank.is_waiting for rank in self._ranks):
            return
        self._nonce += 1
        words = [
            rank.engine.make_formation_contribution(nonce=self._nonce)
            for rank in self._ranks
        ]
        formation = barrier.form_group(words, declared=DECLARED)
        for rank in self._ranks:
            rank.keep(rank.engine.join_generation(formation))
        if not formation.missing_ranks:
            self.figures['formations'] += 1
            self._tell_driver(
                events.GroupFormed(
                    generation=formation.generation, ranks=RANKS
                )
            )

    def _answer(self, number, decision):
        answer = events.AgentAnswered(rank=number, **vars(decision))
        self._messages.append((None, answer))

    def _tell_driver(self, event):
        for made in self._driver.apply(event, now_s=self._now_s):
            if isinstance(made, decisions.ChangeEnded):
                self.figures['changes'] += made.switched
                continue
            fields = dict(vars(made))
            number = fields.pop('rank')
            request = _REQUEST_KINDS[type(made)](**fields)
            self._messages.append((number, request))

    def _deliver(self):
        if not self._messages:
            return
        index = self._draw(len(self._messages))
        number, event = self._messages[index]
        draw = self._generator.random()
        if draw >= DUPLICATED_SHARE:
            self._messages.pop(index)
        if draw >= 1 - LOST_SHARE:
            return
        if number is None:
            self._tell_driver(event)
        else:
            self._ranks[number].tell(event, now_s=self._now_s)

    def _mend(self):
        for rank in self._ranks:
            rank.is_frozen = False
            if not rank.is_up:
                rank.start_engine()

    def _fail_at_random(self):
        if self._generator.random() < MENDED_SHARE:
            self._mend()
        rank = self._ranks[self._draw(RANKS)]
        failure = self._draw(5)
        if failure == 0:
            rank.kill_engine()
        elif failure == 1:
            rank.is_frozen = True
        elif failure == 2:
            rank.replace_agent()
        elif failure == 3:
            # A new driver does not know what the one before has asked.
            self._nonce += 1
            self._driver = drivers.GroupDriver(nonce=self._nonce)
            generation = rank.state.generation
            if generation is not None:
                self._tell_driver(
                    events.GroupFormed(generation=generation, ranks=RANKS)
                )
        else:
            self._tell_driver(events.MapProposed(digest=1 + self._draw(50)))

    def _draw(self, count):
        return int(self._generator.integers(count))
