"""Model the part of an engine rank that map changes rely on.

Adapters of engines keep to this behaviour; stand-ins embed it. It trusts its
agent: a load overwrites spare memory whatever is in it.
"""

import dataclasses

from savoryyoke.groups import exceptions
from savoryyoke.groups.switching import barrier
from savoryyoke.groups.switching import events
from savoryyoke.groups.switching import identities


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineState:
    """Hold the state of one engine rank.

    ``word`` is the word under way in the present step's collective,
    ``withdrawing`` the offer whose withdrawal waits for that word.
    """

    rank: int
    generation: identities.Generation | None = None
    counter: int = 0
    step: int = 0
    active: identities.MapIdentity | None = None
    spare: identities.MapIdentity | None = None
    loading: identities.MapIdentity | None = None
    offer: identities.MapIdentity | None = None
    word: barrier.StepWord | None = None
    withdrawing: identities.MapIdentity | None = None


class RankEngine:
    """Run steps and carry out an agent's orders; return events for it."""

    def __init__(self, *, state):
        """Start from an EngineState."""
        self._state = state

    @property
    def state(self):
        """Return the EngineState."""
        return self._state

    def observe(self):
        """Return the EngineObserved that describes the present state."""
        state = self._state
        carried = state.word is not None and state.word.offer is not None
        return events.EngineObserved(
            generation=state.generation,
            active=state.active,
            spare=state.spare,
            offered=state.offer is not None or carried,
            loading=state.loading,
        )

    def load(self, identity, *, generation):
        """Begin to overwrite spare memory.

        Refuses an order that was made for another generation.
        """
        if generation != self._state.generation:
            return (events.LoadEnded(identity=identity, succeeded=False),)
        self._update(spare=None, loading=identity)
        return ()

    def end_load(self, *, succeeded):
        """End the load under way."""
        identity = self._state.loading
        self._update(loading=None, spare=identity if succeeded else None)
        return (events.LoadEnded(identity=identity, succeeded=succeeded),)

    def offer(self, identity):
        """Offer the map in spare memory from the next word on.

        Refuses an offer that was made for another generation.
        """
        if identity.token.generation != self._state.generation:
            return ()
        if identity == self._state.spare:
            self._update(offer=identity)
        return ()

    def withdraw(self, identity):
        """Leave the map out of the words from the next one on."""
        if self._state.offer == identity:
            self._update(offer=None)
        word = self._state.word
        if word is not None and word.offer == identity:
            self._update(withdrawing=identity)
            return ()
        return (self._answer_withdrawal(identity),)

    def contribute(self):
        """Begin the present step and return its word."""
        word = barrier.StepWord(
            generation=self._state.generation,
            step=self._state.step,
            rank=self._state.rank,
            offer=self._state.offer,
        )
        self._update(word=word)
        return word

    def complete(self, words):
        """End the present step with the words of all ranks."""
        chosen = barrier.choose_switch(words)
        self._update(step=self._state.step + 1, word=None)
        if chosen is None:
            return self._finish_withdrawal()
        self._activate(chosen)
        return self._finish_withdrawal() + (self.observe(),)

    def fail(self):
        """Leave the generation, as a peer is lost."""
        self._update(generation=None, word=None, offer=None)
        return self._finish_withdrawal() + (self.observe(),)

    def say_formation_word(self, *, nonce):
        """Return this rank's word for forming the group."""
        held = (self._state.active, self._state.spare)
        return barrier.FormationWord(
            rank=self._state.rank,
            counter=self._state.counter,
            nonce=nonce,
            held=tuple(identity for identity in held if identity),
        )

    def enter(self, formation):
        """Join the generation, or ask for the map that it needs."""
        if self._state.rank in formation.missing_ranks:
            return (events.MapRequired(identity=formation.identity),)
        if formation.missing_ranks:
            return ()
        if formation.identity != self._state.active:
            self._activate(formation.identity)
        self._update(
            generation=formation.generation,
            counter=formation.generation.counter,
            step=1,
        )
        return (self.observe(),)

    def _activate(self, identity):
        """Exchange active and spare memory."""
        if identity != self._state.spare:
            raise exceptions.BarrierViolated('the map is not whole in memory')
        self._update(
            active=identity,
            spare=self._state.active,
            offer=None,
        )

    def _finish_withdrawal(self):
        identity = self._state.withdrawing
        if identity is None:
            return ()
        self._update(withdrawing=None)
        return (self._answer_withdrawal(identity),)

    def _answer_withdrawal(self, identity):
        return events.WithdrawAnswered(
            identity=identity,
            switched=self._state.active == identity,
        )

    def _update(self, **changes):
        self._state = dataclasses.replace(self._state, **changes)
