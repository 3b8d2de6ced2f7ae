"""Hold a small group, its processes and its network as one value.

``list_actions`` names all that may happen next and ``perform`` returns the
world after it. Messages are never removed unless asked, so that loss needs no
action and messages cross freely; orders to an engine keep their order.
"""

import dataclasses
import functools

from savoryyoke.groups.switching import agent as agents
from savoryyoke.groups.switching import barrier
from savoryyoke.groups.switching import decisions
from savoryyoke.groups.switching import driver as drivers
from savoryyoke.groups.switching import engines
from savoryyoke.groups.switching import events
from savoryyoke.groups.switching import identities

DECLARED = identities.MapIdentity(digest=0)
GENERATION = identities.Generation(counter=1, nonce=7)
LATE_S = 1e9


class Violation(AssertionError):
    """Report a broken promise of the protocol."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class World:
    """Hold the state of everything.

    ``begun`` holds (word, active map) of steps that may still be joined.
    """

    def __hash__(self):
        return self._hash

    @functools.cached_property
    def _hash(self):
        return hash(tuple(vars(self).values()))

    engines: tuple
    agents: tuple
    drivers: tuple
    orders: tuple
    observations: tuple
    messages: frozenset = frozenset()
    begun: frozenset = frozenset()
    proposals: tuple = ()
    faults: int = 0
    ends: tuple = ()


def make_world(*, ranks, drivers_count=1, proposals=(), faults=0, order=1):
    """Return a running group whose drivers have learnt their order."""
    engine_states = tuple(
        engines.EngineState(
            rank=rank,
            generation=GENERATION,
            counter=1,
            step=1,
            active=DECLARED,
        )
        for rank in range(ranks)
    )
    return World(
        engines=engine_states,
        agents=(
            agents.AgentState(
                phase=agents.AgentPhase.IDLE,
                generation=GENERATION,
                active=DECLARED,
            ),
        )
        * ranks,
        drivers=tuple(
            drivers.DriverState(
                nonce=number + 1,
                phase=drivers.DriverPhase.IDLE,
                generation=GENERATION,
                answers=(None,) * ranks,
                order=order,
            )
            for number in range(drivers_count)
        ),
        orders=((),) * ranks,
        observations=((),) * ranks,
        proposals=tuple(proposals),
        faults=faults,
    )


class Simulator:
    """Step worlds under one set of rules; ``rules`` are swapped by mutations.

    ``agent_class`` is the rank agent, ``choose`` the choice of the step.
    """

    def __init__(
        self, *, agent_class=agents.RankAgent, choose=barrier.choose_switch
    ):
        """Keep the rules."""
        self._agent_class = agent_class
        self._choose = choose

    def list_actions(self, world):
        """Return all actions that are possible in ``world``."""
        actions = self.list_shared_actions(world)
        for rank in range(len(world.engines)):
            actions += self.list_rank_actions(world, rank)
        return actions

    def list_shared_actions(self, world):
        """Return the actions that are not of one rank."""
        actions = [('deliver', message) for message in world.messages]
        if all(
            state.generation is None and state.loading is None
            for state in world.engines
        ):
            actions.append(('form',))
        for number, digest in world.proposals:
            actions.append(('propose', number, digest))
        if world.faults:
            actions += [('duplicate', each) for each in world.messages]
            for number in range(len(world.drivers)):
                actions += [('give up', number), ('resend', number)]
        return actions

    def list_rank_actions(self, world, rank):
        """Yield the actions of one rank."""
        state = world.engines[rank]
        if world.orders[rank]:
            yield ('order', rank)
        if world.observations[rank]:
            yield ('observe', rank)
        if state.loading is not None:
            yield ('loaded', rank)
        if state.generation is not None:
            if state.word is None:
                yield ('contribute', rank)
            elif self._find_words(world, state) is not None:
                yield ('complete', rank)
            elif self._is_broken(world, state):
                yield ('fail', rank)
        if world.faults:
            if state.loading is not None:
                yield ('load fails', rank)
            if state.generation is not None:
                yield ('partition', rank)
            yield ('engine dies', rank)
            if not world.orders[rank]:
                yield ('agent dies', rank)
            yield ('offer times out', rank)

    def _is_broken(self, world, state):
        return any(
            peer.generation != state.generation for peer in world.engines
        )

    def _find_words(self, world, state):
        words = [
            word
            for word, active in world.begun
            if _find_step(word) == _find_step(state)
        ]
        return words if len(words) == len(world.engines) else None

    def perform(self, world, action):
        """Return the world after ``action``; raise Violation if broken."""
        turn = _Turn(world, self._agent_class)
        name, *arguments = action
        if name not in _FREE_ACTIONS:
            turn.faults -= 1
        if name == 'complete':
            self._complete(turn, world, *arguments)
        else:
            getattr(turn, name.replace(' ', '_'))(*arguments)
        return turn.freeze()

    def _complete(self, turn, world, rank):
        words = self._find_words(world, world.engines[rank])
        engine = engines.RankEngine(state=world.engines[rank])
        original = barrier.choose_switch
        barrier.choose_switch = self._choose
        try:
            observed = engine.complete(words)
        finally:
            barrier.choose_switch = original
        turn.keep_engine(rank, engine, observed)


_FREE_ACTIONS = frozenset(
    'deliver order observe loaded contribute complete fail form '
    'propose'.split()
)


class _Turn:
    """Carry out one action on a copy of a world."""

    def __init__(self, world, agent_class):
        self._agent_class = agent_class
        self._names = [each.name for each in dataclasses.fields(world)]
        for name in self._names:
            value = getattr(world, name)
            thawed = {tuple: list, frozenset: set}.get(type(value), int)
            setattr(self, name, thawed(value))

    def freeze(self):
        self._shift_steps()
        steps = set(map(_find_step, self.engines))
        self.begun = {
            (word, active)
            for word, active in self.begun
            if _find_step(word) in steps
        }
        fields = {}
        for name in self._names:
            value = getattr(self, name)
            frozen = {list: tuple, set: frozenset}.get(type(value), int)
            fields[name] = frozen(value)
        return World(**fields)

    def _shift_steps(self):
        """Count steps from the slowest rank's, so that worlds repeat."""
        shift = min(state.step for state in self.engines) - 1
        if shift < 1:
            return
        self.engines = [
            dataclasses.replace(
                state,
                step=state.step - shift,
                word=state.word and _shift(state.word, shift),
            )
            for state in self.engines
        ]
        self.begun = {
            (_shift(word, shift), active) for word, active in self.begun
        }

    def deliver(self, message):
        self.messages.discard(message)
        self.duplicate(message)

    def duplicate(self, message):
        kind, index, event = message
        if kind == 'agent':
            self._tell_agent(index, event)
        else:
            self._tell_driver(index, event)

    def order(self, rank):
        order, *rest = self.orders[rank]
        self.orders[rank] = tuple(rest)
        engine = engines.RankEngine(state=self.engines[rank])
        self.keep_engine(rank, engine, _carry_out(order, engine))

    def observe(self, rank):
        event, *rest = self.observations[rank]
        self.observations[rank] = tuple(rest)
        self._tell_agent(rank, event)

    def loaded(self, rank, succeeded=True):
        engine = engines.RankEngine(state=self.engines[rank])
        self.keep_engine(rank, engine, engine.end_load(succeeded=succeeded))

    load_fails = functools.partialmethod(loaded, succeeded=False)

    def contribute(self, rank):
        engine = engines.RankEngine(state=self.engines[rank])
        word = engine.contribute()
        active = engine.state.active
        for other, other_active in self.begun:
            if (
                _find_step(other) == _find_step(word)
                and other_active != active
            ):
                raise Violation('two maps in one step')
        self.begun.add((word, active))
        self.keep_engine(rank, engine, ())

    def fail(self, rank):
        engine = engines.RankEngine(state=self.engines[rank])
        self.keep_engine(rank, engine, engine.fail())

    partition = fail

    def form(self):
        members = [engines.RankEngine(state=state) for state in self.engines]
        words = [
            member.say_formation_word(nonce=self.faults) for member in members
        ]
        formation = barrier.form_group(words, declared=DECLARED)
        for rank in formation.missing_ranks:
            if words[rank].counter:
                raise Violation('a survivor lacks the common map')
        for rank, member in enumerate(members):
            self.keep_engine(rank, member, member.enter(formation))
        if formation.missing_ranks:
            return
        for number in range(len(self.drivers)):
            event = events.GroupFormed(
                generation=formation.generation, ranks=len(members)
            )
            self._tell_driver(number, event)

    def propose(self, number, digest):
        self.proposals.remove((number, digest))
        self._tell_driver(number, events.MapProposed(digest=digest))

    def give_up(self, number):
        self._tell_driver(number, events.TimePassed(), now_s=LATE_S)

    def resend(self, number):
        due_s = self.drivers[number].resend_at_s
        self._tell_driver(number, events.TimePassed(), now_s=due_s)

    def engine_dies(self, rank):
        state = engines.EngineState(rank=rank)
        engine = engines.RankEngine(state=state)
        self.orders[rank] = ()
        self.observations[rank] = (events.EngineRestarted(),)
        self.keep_engine(rank, engine, (engine.observe(),))

    def agent_dies(self, rank):
        self.agents[rank] = agents.AgentState()
        engine = engines.RankEngine(state=self.engines[rank])
        self.observations[rank] = (engine.observe(),)

    def offer_times_out(self, rank):
        self._tell_agent(rank, events.TimePassed(), now_s=LATE_S)

    def keep_engine(self, rank, engine, observed):
        self.engines[rank] = engine.state
        self.observations[rank] += observed

    def _tell_agent(self, rank, event, now_s=0.0):
        agent = self._agent_class(state=self.agents[rank])
        for decision in agent.apply(event, now_s=now_s):
            if isinstance(decision, decisions.AnswerDriver):
                self._send_answer(rank, decision)
            else:
                self.orders[rank] += (decision,)
        self.agents[rank] = agent.state

    def _send_answer(self, rank, decision):
        answer = events.AgentAnswered(rank=rank, **vars(decision))
        for number, state in enumerate(self.drivers):
            if state.nonce == decision.driver_nonce:
                self.messages.add(('driver', number, answer))

    def _tell_driver(self, number, event, now_s=0.0):
        driver = drivers.GroupDriver(state=self.drivers[number])
        for decision in driver.apply(event, now_s=now_s):
            if isinstance(decision, decisions.ChangeEnded):
                self.ends.append((decision.reason, decision.switched))
            else:
                request = _make_request(decision)
                self.messages.add(('agent', decision.rank, request))
        self.drivers[number] = driver.state


def _find_step(part):
    return (part.generation, part.step)


def _shift(word, shift):
    return dataclasses.replace(word, step=word.step - shift)


def _carry_out(order, engine):
    if isinstance(order, decisions.LoadMap):
        return engine.load(order.identity, generation=order.generation)
    if isinstance(order, decisions.OfferMap):
        return engine.offer(order.identity)
    return engine.withdraw(order.identity)


def _make_request(decision):
    fields = dict(vars(decision))
    fields.pop('rank')
    kinds = {
        decisions.PrepareRank: events.PrepareReceived,
        decisions.AbandonRank: events.AbandonReceived,
        decisions.QueryRank: events.QueryReceived,
    }
    return kinds[type(decision)](**fields)
