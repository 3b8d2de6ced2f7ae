"""Model a small group, its processes and its network as one value.

``list_actions`` returns the actions that are possible in a world and
``perform`` the world after one of them. A message stays in the world until it
is delivered, so a lost message needs no action of its own, and messages are
delivered in any order. Orders to an engine keep their order.
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
    """Report a state that the protocol must prevent."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class World:
    """Hold the state of all engines, agents, drivers and messages.

    ``begun_steps`` holds (contribution, active map) for each rank that began
    a step which other ranks may still begin. ``faults`` is the number of
    faults that may still happen. ``change_ends`` holds (reason, switched) of
    the changes that ended.
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
    begun_steps: frozenset = frozenset()
    proposals: tuple = ()
    faults: int = 0
    change_ends: tuple = ()


def make_world(*, ranks, drivers_count=1, proposals=(), faults=0, order=1):
    """Return a running group whose drivers are idle."""
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
                nonce=driver_index + 1,
                phase=drivers.DriverPhase.IDLE,
                generation=GENERATION,
                answers=(None,) * ranks,
                driver_order=order,
            )
            for driver_index in range(drivers_count)
        ),
        orders=((),) * ranks,
        observations=((),) * ranks,
        proposals=tuple(proposals),
        faults=faults,
    )


class Simulator:
    """Perform actions on worlds under one set of rules.

    ``agent_class`` is the class of rank agents and ``choose_switch`` the
    function that chooses the map after a step. Mutation tests replace them.
    """

    def __init__(
        self,
        *,
        agent_class=agents.RankAgent,
        choose_switch=barrier.choose_switch,
    ):
        """Store the rules."""
        self._agent_class = agent_class
        self._choose_switch = choose_switch

    def list_actions(self, world):
        """Return all actions that are possible in ``world``."""
        actions = self.list_shared_actions(world)
        for rank in range(len(world.engines)):
            actions += self.list_rank_actions(world, rank)
        return actions

    def list_shared_actions(self, world):
        """Return the actions that don't belong to one rank."""
        actions = [('deliver', message) for message in world.messages]
        if all(
            state.generation is None and state.loading is None
            for state in world.engines
        ):
            actions.append(('form',))
        for driver_index, digest in world.proposals:
            actions.append(('propose', driver_index, digest))
        if world.faults:
            actions += [('duplicate', message) for message in world.messages]
            for driver_index in range(len(world.drivers)):
                actions += [
                    ('give up', driver_index),
                    ('resend', driver_index),
                ]
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
            if state.contribution is None:
                yield ('contribute', rank)
            elif self._find_contributions(world, state) is not None:
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

    def _find_contributions(self, world, state):
        contributions = [
            contribution
            for contribution, active in world.begun_steps
            if _find_step(contribution) == _find_step(state)
        ]
        return (
            contributions if len(contributions) == len(world.engines) else None
        )

    def perform(self, world, action):
        """Return the world after ``action``.

        Raise ``Violation`` or ``BarrierViolated`` for a state that the
        protocol must prevent.
        """
        transition = _Transition(world, self._agent_class)
        name, *arguments = action
        if name not in _FAULTLESS_ACTIONS:
            transition.faults -= 1
        if name == 'complete':
            self._complete(transition, world, *arguments)
        else:
            getattr(transition, name.replace(' ', '_'))(*arguments)
        return transition.freeze()

    def _complete(self, transition, world, rank):
        contributions = self._find_contributions(world, world.engines[rank])
        engine = engines.RankEngine(state=world.engines[rank])
        original = barrier.choose_switch
        barrier.choose_switch = self._choose_switch
        try:
            observed = engine.complete(contributions)
        finally:
            barrier.choose_switch = original
        transition.store_engine(rank, engine, observed)


_FAULTLESS_ACTIONS = frozenset(
    'deliver order observe loaded contribute complete fail form '
    'propose'.split()
)


class _Transition:
    """Carry out one action on a copy of a world."""

    def __init__(self, world, agent_class):
        self._agent_class = agent_class
        self._names = [field.name for field in dataclasses.fields(world)]
        for name in self._names:
            value = getattr(world, name)
            mutable_class = {tuple: list, frozenset: set}.get(type(value), int)
            setattr(self, name, mutable_class(value))

    def freeze(self):
        self._shift_steps()
        steps = set(map(_find_step, self.engines))
        self.begun_steps = {
            (contribution, active)
            for contribution, active in self.begun_steps
            if _find_step(contribution) in steps
        }
        fields = {}
        for name in self._names:
            value = getattr(self, name)
            immutable_class = {list: tuple, set: frozenset}.get(
                type(value), int
            )
            fields[name] = immutable_class(value)
        return World(**fields)

    def _shift_steps(self):
        """Count steps from the slowest rank's, so that fewer worlds differ."""
        shift = min(state.step for state in self.engines) - 1
        if shift < 1:
            return
        self.engines = [
            dataclasses.replace(
                state,
                step=state.step - shift,
                contribution=state.contribution
                and _shift(state.contribution, shift),
            )
            for state in self.engines
        ]
        self.begun_steps = {
            (_shift(contribution, shift), active)
            for contribution, active in self.begun_steps
        }

    def deliver(self, message):
        self.messages.discard(message)
        self.duplicate(message)

    def duplicate(self, message):
        receiver, receiver_index, event = message
        if receiver == 'agent':
            self._apply_to_agent(receiver_index, event)
        else:
            self._apply_to_driver(receiver_index, event)

    def order(self, rank):
        order, *rest = self.orders[rank]
        self.orders[rank] = tuple(rest)
        engine = engines.RankEngine(state=self.engines[rank])
        self.store_engine(rank, engine, _carry_out(order, engine))

    def observe(self, rank):
        event, *rest = self.observations[rank]
        self.observations[rank] = tuple(rest)
        self._apply_to_agent(rank, event)

    def loaded(self, rank, succeeded=True):
        engine = engines.RankEngine(state=self.engines[rank])
        self.store_engine(rank, engine, engine.end_load(succeeded=succeeded))

    load_fails = functools.partialmethod(loaded, succeeded=False)

    def contribute(self, rank):
        engine = engines.RankEngine(state=self.engines[rank])
        contribution = engine.contribute()
        active = engine.state.active
        for other_contribution, other_active in self.begun_steps:
            if (
                _find_step(other_contribution) == _find_step(contribution)
                and other_active != active
            ):
                raise Violation('two maps in one step')
        self.begun_steps.add((contribution, active))
        self.store_engine(rank, engine, ())

    def fail(self, rank):
        engine = engines.RankEngine(state=self.engines[rank])
        self.store_engine(rank, engine, engine.leave_generation())

    partition = fail

    def form(self):
        members = [engines.RankEngine(state=state) for state in self.engines]
        contributions = [
            member.make_formation_contribution(nonce=self.faults)
            for member in members
        ]
        formation = barrier.form_group(contributions, declared=DECLARED)
        for rank in formation.missing_ranks:
            if contributions[rank].counter:
                raise Violation('a survivor lacks the common map')
        for rank, member in enumerate(members):
            self.store_engine(rank, member, member.join_generation(formation))
        if formation.missing_ranks:
            return
        for driver_index in range(len(self.drivers)):
            event = events.GroupFormed(
                generation=formation.generation, ranks=len(members)
            )
            self._apply_to_driver(driver_index, event)

    def propose(self, driver_index, digest):
        self.proposals.remove((driver_index, digest))
        self._apply_to_driver(driver_index, events.MapProposed(digest=digest))

    def give_up(self, driver_index):
        self._apply_to_driver(driver_index, events.TimePassed(), now_s=LATE_S)

    def resend(self, driver_index):
        due_s = self.drivers[driver_index].resend_at_s
        self._apply_to_driver(driver_index, events.TimePassed(), now_s=due_s)

    def engine_dies(self, rank):
        state = engines.EngineState(rank=rank)
        engine = engines.RankEngine(state=state)
        self.orders[rank] = ()
        self.observations[rank] = (events.EngineRestarted(),)
        self.store_engine(rank, engine, (engine.observe(),))

    def agent_dies(self, rank):
        self.agents[rank] = agents.AgentState()
        engine = engines.RankEngine(state=self.engines[rank])
        self.observations[rank] = (engine.observe(),)

    def offer_times_out(self, rank):
        self._apply_to_agent(rank, events.TimePassed(), now_s=LATE_S)

    def store_engine(self, rank, engine, observed):
        self.engines[rank] = engine.state
        self.observations[rank] += observed

    def _apply_to_agent(self, rank, event, now_s=0.0):
        agent = self._agent_class(state=self.agents[rank])
        for decision in agent.apply(event, now_s=now_s):
            if isinstance(decision, decisions.AnswerDriver):
                self._send_answer(rank, decision)
            else:
                self.orders[rank] += (decision,)
        self.agents[rank] = agent.state

    def _send_answer(self, rank, decision):
        answer = events.AgentAnswered(rank=rank, **vars(decision))
        for driver_index, state in enumerate(self.drivers):
            if state.nonce == decision.driver_nonce:
                self.messages.add(('driver', driver_index, answer))

    def _apply_to_driver(self, driver_index, event, now_s=0.0):
        driver = drivers.GroupDriver(state=self.drivers[driver_index])
        for decision in driver.apply(event, now_s=now_s):
            if isinstance(decision, decisions.ChangeEnded):
                self.change_ends.append((decision.reason, decision.switched))
            else:
                request = _make_request(decision)
                self.messages.add(('agent', decision.rank, request))
        self.drivers[driver_index] = driver.state


def _find_step(state_or_word):
    return (state_or_word.generation, state_or_word.step)


def _shift(contribution, shift):
    return dataclasses.replace(contribution, step=contribution.step - shift)


def _carry_out(order, engine):
    if isinstance(order, decisions.LoadMap):
        return engine.load(order.identity, generation=order.generation)
    if isinstance(order, decisions.OfferMap):
        return engine.offer(order.identity)
    return engine.withdraw(order.identity)


def _make_request(decision):
    fields = dict(vars(decision))
    fields.pop('rank')
    event_classes = {
        decisions.PrepareRank: events.PrepareReceived,
        decisions.AbandonRank: events.AbandonReceived,
        decisions.QueryRank: events.QueryReceived,
    }
    return event_classes[type(decision)](**fields)
