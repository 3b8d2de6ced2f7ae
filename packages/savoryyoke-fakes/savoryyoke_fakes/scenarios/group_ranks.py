"""Join a rank's agent to the engine that it prepares."""

import collections
import functools

from savoryyoke.groups.switching import agent as agents
from savoryyoke.groups.switching import decisions
from savoryyoke.groups.switching import engines
from savoryyoke.groups.switching import events


class Rank:
    """Hold one rank: its engine, its agent and what passes between them.

    ``answer`` is called with what the agent tells the driver.
    """

    def __init__(self, *, number, answer, agent_class=agents.RankAgent):
        self.number = number
        self.is_up = True
        self.is_frozen = False
        self._answer = answer
        self._agent_class = agent_class
        self._orders = collections.deque()
        self._observations = collections.deque()
        self.agent = agent_class()
        self.engine = None
        self.start_engine()

    @property
    def state(self):
        """Return the engine's state."""
        return self.engine.state

    @property
    def is_waiting(self):
        """Return whether nothing is under way and no generation is."""
        return (
            self.is_up
            and not self.is_frozen
            and self.state.generation is None
            and self.state.loading is None
            and not self._observations
            and not self._orders
        )

    def start_engine(self):
        """Put a cold engine in place."""
        self.is_up = True
        self._orders.clear()
        self._observations.clear()
        self._observations.append(events.EngineRestarted())
        state = engines.EngineState(rank=self.number)
        self.engine = engines.RankEngine(state=state)
        self.keep((self.engine.observe(),))

    def kill_engine(self):
        """End the engine."""
        self.start_engine()
        self.is_up = False

    def replace_agent(self):
        """Put a new agent in place, which knows nothing."""
        self.agent = self._agent_class()
        self._observations.clear()
        self._orders.clear()
        self.keep((self.engine.observe(),))

    def keep(self, observed):
        """Let the agent hear of events of the engine, later and in order."""
        self._observations.extend(observed)

    def work(self, *, load_succeeds, now_s):
        """Carry out what is due between the agent and the engine."""
        if self._observations:
            self.tell(self._observations.popleft(), now_s=now_s)
        if self._orders:
            self.keep(_carry_out(self._orders.popleft(), self.engine))
        elif self.state.loading is not None:
            self.keep(self.engine.end_load(succeeded=load_succeeds))

    def tell(self, event, *, now_s):
        """Apply an event to the agent."""
        for decision in self.agent.apply(event, now_s=now_s):
            if isinstance(decision, decisions.AnswerDriver):
                self._answer(self.number, decision)
            else:
                self._orders.append(decision)


@functools.singledispatch
def _carry_out(order, engine):
    raise TypeError(order)


@_carry_out.register
def _(order: decisions.LoadMap, engine):
    return engine.load(order.identity, generation=order.generation)


@_carry_out.register
def _(order: decisions.OfferMap, engine):
    return engine.offer(order.identity)


@_carry_out.register
def _(order: decisions.WithdrawMap, engine):
    return engine.withdraw(order.identity)
