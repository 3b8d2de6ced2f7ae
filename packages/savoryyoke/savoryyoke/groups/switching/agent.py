"""Prepare one rank for map changes, in the slot beside its engine."""

import dataclasses
import enum
import functools

from savoryyoke.groups import exceptions
from savoryyoke.groups.switching import conf
from savoryyoke.groups.switching import decisions
from savoryyoke.groups.switching import events
from savoryyoke.groups.switching import identities


class AgentPhase(enum.Enum):
    """Say which order to the engine, if any, is under way."""

    UNKNOWN = 'unknown'
    IDLE = 'idle'
    LOADING = 'loading'
    OFFERING = 'offering'
    WITHDRAWING = 'withdrawing'


# An order is under way, or the engine's state is not known yet.
_BUSY = (AgentPhase.UNKNOWN, AgentPhase.LOADING, AgentPhase.WITHDRAWING)


@dataclasses.dataclass(frozen=True, kw_only=True)
class AgentState:
    """Hold all that the agent knows.

    ``goal`` is the map to offer, ``highest`` the newest token accepted in
    the present generation.
    """

    phase: AgentPhase = AgentPhase.UNKNOWN
    generation: identities.Generation | None = None
    active: identities.MapIdentity | None = None
    spare: identities.MapIdentity | None = None
    goal: identities.MapIdentity | None = None
    highest: identities.ChangeToken | None = None
    failed: identities.MapIdentity | None = None
    driver_nonce: int | None = None
    deadline_s: float = 0.0


class RankAgent:
    """Load, offer and withdraw maps on one engine rank.

    An offer is a promise that the map is whole in spare memory. The agent
    keeps it: spare memory is overwritten only after the engine has answered
    the withdrawal of its content, and outside of a generation only if the
    group cannot form without. So a rank that missed the end of a step still
    holds the map that the others switched to. The agent decides no switch.
    """

    def __init__(
        self, *, offer_timeout_s=conf.OFFER_TIMEOUT_S, state=AgentState()
    ):
        """Start without knowledge of the engine."""
        self._offer_timeout_s = offer_timeout_s
        self._state = state

    @property
    def state(self):
        """Return the AgentState."""
        return self._state

    def apply(self, event, *, now_s):
        """Take in ``event`` and return a tuple of decisions."""
        before = self._answer()
        asked = self._take(event, now_s)
        orders = self._advance()
        answer = self._answer()
        if answer is not None and (asked or answer != before):
            orders += (answer,)
        return orders

    @functools.singledispatchmethod
    def _take(self, event, now_s):
        raise exceptions.UnknownEvent(event=event)

    @_take.register
    def _(self, event: events.EngineObserved, now_s):
        if event.generation != self._state.generation:
            self._enter_generation(event, now_s)
        elif self._state.phase is AgentPhase.UNKNOWN:
            self._update(phase=_find_phase(event))
        elif self._has_switched(event):
            self._update(phase=AgentPhase.IDLE)
        elif self._state.phase is not AgentPhase.IDLE:
            # Sent before the engine carried out the order under way.
            return False
        self._update(active=event.active, spare=event.spare)
        return False

    @_take.register
    def _(self, event: events.EngineRestarted, now_s):
        self._state = AgentState()
        return False

    @_take.register
    def _(self, event: events.LoadEnded, now_s):
        if self._state.phase is not AgentPhase.LOADING:
            return False
        self._update(phase=AgentPhase.IDLE)
        if event.succeeded:
            self._update(spare=event.identity)
        elif self._state.goal == event.identity:
            self._update(goal=None, failed=event.identity)
        return False

    @_take.register
    def _(self, event: events.WithdrawAnswered, now_s):
        if self._state.phase is not AgentPhase.WITHDRAWING:
            return False
        self._update(phase=AgentPhase.IDLE)
        if event.switched:
            self._update(active=event.identity, spare=None)
        return False

    @_take.register
    def _(self, event: events.PrepareReceived, now_s):
        token = event.identity.token
        if token.generation != self._state.generation:
            return False
        self._update(driver_nonce=token.driver_nonce)
        if self._is_newer(token):
            self._update(
                highest=token,
                goal=event.identity,
                failed=None,
                deadline_s=now_s + self._offer_timeout_s,
            )
        return True

    @_take.register
    def _(self, event: events.AbandonReceived, now_s):
        token = event.identity.token
        if token.generation != self._state.generation:
            return False
        if token == self._state.highest or self._is_newer(token):
            # Kept as the newest, so that a late request to prepare is void.
            self._update(highest=token, goal=None)
        return False

    @_take.register
    def _(self, event: events.QueryReceived, now_s):
        if event.generation != self._state.generation:
            return False
        self._update(driver_nonce=event.driver_nonce)
        return True

    @_take.register
    def _(self, event: events.MapRequired, now_s):
        if self._state.generation is None:
            self._update(
                goal=event.identity,
                deadline_s=now_s + self._offer_timeout_s,
            )
        return False

    @_take.register
    def _(self, event: events.TimePassed, now_s):
        if self._state.goal is not None and now_s > self._state.deadline_s:
            self._update(goal=None)
        return False

    def _advance(self):
        state = self._state
        if state.phase in _BUSY:
            return ()
        if state.phase is AgentPhase.OFFERING:
            return self._withdraw_if_outdated()
        if state.goal is None:
            return ()
        if state.goal == state.active:
            self._update(goal=None)
            return ()
        if state.goal == state.spare:
            return self._offer()
        self._update(phase=AgentPhase.LOADING, spare=None)
        return (
            decisions.LoadMap(
                identity=state.goal, generation=state.generation
            ),
        )

    def _offer(self):
        if self._state.generation is None:
            self._update(goal=None)
            return ()
        self._update(phase=AgentPhase.OFFERING)
        return (decisions.OfferMap(identity=self._state.goal),)

    def _withdraw_if_outdated(self):
        offered = self._state.spare
        if offered == self._state.goal:
            return ()
        self._update(phase=AgentPhase.WITHDRAWING)
        return (decisions.WithdrawMap(identity=offered),)

    def _enter_generation(self, event, now_s):
        """Forget the changes of the generation before.

        A load or a withdrawal under way is still answered. An offer is not:
        the engine has dropped it with its generation.
        """
        phase = self._state.phase
        if phase not in (AgentPhase.LOADING, AgentPhase.WITHDRAWING):
            phase = _find_phase(event)
        goal = event.spare if event.offered else None
        self._update(
            phase=phase,
            generation=event.generation,
            goal=goal,
            highest=goal.token if goal else None,
            failed=None,
            driver_nonce=None,
            deadline_s=now_s + self._offer_timeout_s,
        )

    def _has_switched(self, event):
        offered = self._state.phase is AgentPhase.OFFERING
        return offered and event.active == self._state.spare

    def _is_newer(self, token):
        highest = self._state.highest
        return highest is None or token.position > highest.position

    def _answer(self):
        state = self._state
        if state.driver_nonce is None:
            return None
        offering = state.phase is AgentPhase.OFFERING
        return decisions.AnswerDriver(
            driver_nonce=state.driver_nonce,
            generation=state.generation,
            highest=state.highest,
            active=state.active,
            offering=state.spare if offering else None,
            failed=state.failed,
        )

    def _update(self, **changes):
        self._state = dataclasses.replace(self._state, **changes)


def _find_phase(event):
    if event.loading is not None:
        return AgentPhase.LOADING
    return AgentPhase.OFFERING if event.offered else AgentPhase.IDLE
