"""Model the part of an engine rank that takes part in map changes.

Adapters of real engines must behave in the same way; simulated engines use
this class. It does not check its agent's orders to load: a load overwrites
spare memory whatever its content.
"""

import dataclasses

from savoryyoke.groups import exceptions
from savoryyoke.groups.switching import barrier
from savoryyoke.groups.switching import events
from savoryyoke.groups.switching import identities


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineState:
    """Hold the state of one engine rank.

    ``active``, ``spare`` and ``loading`` are the maps in active memory, in
    spare memory and being loaded into spare memory. ``offer`` is the map to
    offer from the next step on. ``contribution`` is the rank's contribution
    to the collective of the current step while that runs, and ``withdrawing``
    the offer whose withdrawal is answered after it.
    """

    rank: int
    generation: identities.Generation | None = None
    counter: int = 0
    step: int = 0
    active: identities.MapIdentity | None = None
    spare: identities.MapIdentity | None = None
    loading: identities.MapIdentity | None = None
    offer: identities.MapIdentity | None = None
    contribution: barrier.StepContribution | None = None
    withdrawing: identities.MapIdentity | None = None


class RankEngine:
    """Run steps and carry out the agent's orders.

    Methods that change the state return a tuple of events for the agent.
    """

    def __init__(self, *, state):
        """Start from an EngineState."""
        self._state = state

    @property
    def state(self):
        """Return the EngineState."""
        return self._state

    def observe(self):
        """Return the EngineObserved that describes the current state."""
        state = self._state
        carried = (
            state.contribution is not None
            and state.contribution.offer is not None
        )
        return events.EngineObserved(
            generation=state.generation,
            active=state.active,
            spare=state.spare,
            is_offered=state.offer is not None or carried,
            loading=state.loading,
        )

    def load(self, identity, *, generation):
        """Begin to load a map into spare memory.

        Refuse an order that was given for another generation.
        """
        if generation != self._state.generation:
            return (events.LoadEnded(identity=identity, succeeded=False),)
        self._update(spare=None, loading=identity)
        return ()

    def end_load(self, *, succeeded):
        """End the current load."""
        identity = self._state.loading
        self._update(loading=None, spare=identity if succeeded else None)
        return (events.LoadEnded(identity=identity, succeeded=succeeded),)

    def offer(self, identity):
        """Offer the map in spare memory from the next contribution on.

        Ignore an offer that was ordered for another generation.
        """
        if identity.token.generation != self._state.generation:
            return ()
        if identity == self._state.spare:
            self._update(offer=identity)
        return ()

    def withdraw(self, identity):
        """Stop offering the map from the next contribution on.

        The answer follows once no current contribution offers the map.
        """
        if self._state.offer == identity:
            self._update(offer=None)
        contribution = self._state.contribution
        if contribution is not None and contribution.offer == identity:
            self._update(withdrawing=identity)
            return ()
        return (self._answer_withdrawal(identity),)

    def contribute(self):
        """Begin the current step and return this rank's contribution."""
        contribution = barrier.StepContribution(
            generation=self._state.generation,
            step=self._state.step,
            rank=self._state.rank,
            offer=self._state.offer,
        )
        self._update(contribution=contribution)
        return contribution

    def complete(self, contributions):
        """End the current step with the contributions of all ranks.

        Raise ``BarrierViolated`` if they are of more than one step or the
        map to switch to is not in spare memory.
        """
        chosen = barrier.choose_switch(contributions)
        self._update(step=self._state.step + 1, contribution=None)
        if chosen is None:
            return self._finish_withdrawal()
        self._activate(chosen)
        return self._finish_withdrawal() + (self.observe(),)

    def leave_generation(self):
        """Leave the generation after the failure of another rank."""
        self._update(generation=None, contribution=None, offer=None)
        return self._finish_withdrawal() + (self.observe(),)

    def make_formation_contribution(self, *, nonce):
        """Return this rank's contribution to forming the group."""
        held_maps = (self._state.active, self._state.spare)
        return barrier.FormationContribution(
            rank=self._state.rank,
            counter=self._state.counter,
            nonce=nonce,
            held_maps=tuple(identity for identity in held_maps if identity),
        )

    def join_generation(self, formation):
        """Join the generation, or request the map that this rank lacks."""
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
        """Swap active and spare memory."""
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
