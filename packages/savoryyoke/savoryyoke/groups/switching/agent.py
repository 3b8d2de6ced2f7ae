"""Prepare one rank for map changes, in the process beside its engine."""

import dataclasses
import enum
import functools

from savoryyoke.groups import exceptions
from savoryyoke.groups.switching import conf
from savoryyoke.groups.switching import decisions
from savoryyoke.groups.switching import events
from savoryyoke.groups.switching import identities


class AgentPhase(enum.Enum):
    """List what the agent has ordered of its engine, if anything."""

    UNKNOWN = 'unknown'
    IDLE = 'idle'
    LOADING = 'loading'
    OFFERING = 'offering'
    WITHDRAWING = 'withdrawing'


# The engine has not answered an order yet, or its state is unknown.
_BUSY_PHASES = (AgentPhase.UNKNOWN, AgentPhase.LOADING, AgentPhase.WITHDRAWING)


@dataclasses.dataclass(frozen=True, kw_only=True)
class AgentState:
    """Hold the agent's state.

    ``active`` and ``spare`` are the maps in the engine's active and spare
    memory. ``newest_token`` is the newest token accepted in the current
    generation, ``failed_map`` the requested map that could not be loaded.
    ``driver_nonce`` names the driver that gets the answers. At
    ``deadline_s`` the agent drops ``map_to_offer``.
    """

    phase: AgentPhase = AgentPhase.UNKNOWN
    generation: identities.Generation | None = None
    active: identities.MapIdentity | None = None
    spare: identities.MapIdentity | None = None
    map_to_offer: identities.MapIdentity | None = None
    newest_token: identities.ChangeToken | None = None
    failed_map: identities.MapIdentity | None = None
    driver_nonce: int | None = None
    deadline_s: float = 0.0


class RankAgent:
    """Load, offer and withdraw maps on one engine rank.

    While a map is offered it must stay complete in spare memory. The agent
    therefore overwrites spare memory only after the engine has answered the
    withdrawal of the map in it, and outside of a generation only if the group
    can't form otherwise. So a rank that missed the end of a step still holds
    the map to which the other ranks switched. The agent doesn't decide on
    switches.
    """

    def __init__(
        self, *, offer_timeout_s=conf.OFFER_TIMEOUT_S, state=AgentState()
    ):
        """Start with the engine's state unknown."""
        self._offer_timeout_s = offer_timeout_s
        self._state = state

    @property
    def state(self):
        """Return the AgentState."""
        return self._state

    def apply(self, event, *, now_s):
        """Process ``event`` and return a tuple of decisions.

        Raise ``UnknownEvent`` for an event of another type.
        """
        previous_answer = self._make_answer()
        is_answer_due = self._handle(event, now_s)
        orders = self._advance()
        answer = self._make_answer()
        if answer is not None and (is_answer_due or answer != previous_answer):
            orders += (answer,)
        return orders

    @functools.singledispatchmethod
    def _handle(self, event, now_s):
        raise exceptions.UnknownEvent(event=event)

    @_handle.register
    def _(self, event: events.EngineObserved, now_s):
        if event.generation != self._state.generation:
            self._enter_generation(event, now_s)
        elif self._state.phase is AgentPhase.UNKNOWN:
            self._update(phase=_find_phase(event))
        elif self._has_switched(event):
            self._update(phase=AgentPhase.IDLE)
        elif self._state.phase is not AgentPhase.IDLE:
            # The engine sent this before it carried out the current order.
            return False
        self._update(active=event.active, spare=event.spare)
        return False

    @_handle.register
    def _(self, event: events.EngineRestarted, now_s):
        self._state = AgentState()
        return False

    @_handle.register
    def _(self, event: events.LoadEnded, now_s):
        if self._state.phase is not AgentPhase.LOADING:
            return False
        self._update(phase=AgentPhase.IDLE)
        if event.succeeded:
            self._update(spare=event.identity)
        elif self._state.map_to_offer == event.identity:
            self._update(map_to_offer=None, failed_map=event.identity)
        return False

    @_handle.register
    def _(self, event: events.WithdrawAnswered, now_s):
        if self._state.phase is not AgentPhase.WITHDRAWING:
            return False
        self._update(phase=AgentPhase.IDLE)
        if event.switched:
            self._update(active=event.identity, spare=None)
        return False

    @_handle.register
    def _(self, event: events.PrepareReceived, now_s):
        token = event.identity.token
        if token.generation != self._state.generation:
            return False
        self._update(driver_nonce=token.driver_nonce)
        if self._is_newer(token):
            self._update(
                newest_token=token,
                map_to_offer=event.identity,
                failed_map=None,
                deadline_s=now_s + self._offer_timeout_s,
            )
        return True

    @_handle.register
    def _(self, event: events.AbandonReceived, now_s):
        token = event.identity.token
        if token.generation != self._state.generation:
            return False
        if token == self._state.newest_token or self._is_newer(token):
            # Recorded as the newest, so that a late request to prepare this
            # map is ignored.
            self._update(newest_token=token, map_to_offer=None)
        return False

    @_handle.register
    def _(self, event: events.QueryReceived, now_s):
        if event.generation != self._state.generation:
            return False
        self._update(driver_nonce=event.driver_nonce)
        return True

    @_handle.register
    def _(self, event: events.MapRequired, now_s):
        if self._state.generation is None:
            self._update(
                map_to_offer=event.identity,
                deadline_s=now_s + self._offer_timeout_s,
            )
        return False

    @_handle.register
    def _(self, event: events.TimePassed, now_s):
        if (
            self._state.map_to_offer is not None
            and now_s > self._state.deadline_s
        ):
            self._update(map_to_offer=None)
        return False

    def _advance(self):
        state = self._state
        if state.phase in _BUSY_PHASES:
            return ()
        if state.phase is AgentPhase.OFFERING:
            return self._withdraw_if_outdated()
        if state.map_to_offer is None:
            return ()
        if state.map_to_offer == state.active:
            self._update(map_to_offer=None)
            return ()
        if state.map_to_offer == state.spare:
            return self._offer()
        self._update(phase=AgentPhase.LOADING, spare=None)
        return (
            decisions.LoadMap(
                identity=state.map_to_offer, generation=state.generation
            ),
        )

    def _offer(self):
        if self._state.generation is None:
            self._update(map_to_offer=None)
            return ()
        self._update(phase=AgentPhase.OFFERING)
        return (decisions.OfferMap(identity=self._state.map_to_offer),)

    def _withdraw_if_outdated(self):
        offered_map = self._state.spare
        if offered_map == self._state.map_to_offer:
            return ()
        self._update(phase=AgentPhase.WITHDRAWING)
        return (decisions.WithdrawMap(identity=offered_map),)

    def _enter_generation(self, event, now_s):
        """Drop the changes of the previous generation.

        The engine still answers a load or a withdrawal that has begun. An
        offer has ended, as the engine drops it with its generation.
        """
        phase = self._state.phase
        if phase not in (AgentPhase.LOADING, AgentPhase.WITHDRAWING):
            phase = _find_phase(event)
        map_to_offer = event.spare if event.is_offered else None
        self._update(
            phase=phase,
            generation=event.generation,
            map_to_offer=map_to_offer,
            newest_token=map_to_offer.token if map_to_offer else None,
            failed_map=None,
            driver_nonce=None,
            deadline_s=now_s + self._offer_timeout_s,
        )

    def _has_switched(self, event):
        is_offering = self._state.phase is AgentPhase.OFFERING
        return is_offering and event.active == self._state.spare

    def _is_newer(self, token):
        newest_token = self._state.newest_token
        return newest_token is None or token.sort_key > newest_token.sort_key

    def _make_answer(self):
        state = self._state
        if state.driver_nonce is None:
            return None
        is_offering = state.phase is AgentPhase.OFFERING
        return decisions.AnswerDriver(
            driver_nonce=state.driver_nonce,
            generation=state.generation,
            newest_token=state.newest_token,
            active=state.active,
            offered_map=state.spare if is_offering else None,
            failed_map=state.failed_map,
        )

    def _update(self, **changes):
        self._state = dataclasses.replace(self._state, **changes)


def _find_phase(event):
    if event.loading is not None:
        return AgentPhase.LOADING
    return AgentPhase.OFFERING if event.is_offered else AgentPhase.IDLE
