"""Give one rank's engine the orders that the leader's directive requires."""

import dataclasses
import functools

from savoryyoke.groups import exceptions
from savoryyoke.groups.rollout import conf
from savoryyoke.groups.rollout import decisions
from savoryyoke.groups.rollout import events
from savoryyoke.groups.rollout import models

_Phase = models.Phase
_INITIAL_TERM = models.Term(number=0, rank=-1)


class RankAgent:
    """Choose the orders to one engine, one at a time.

    Orders depend only on the newest directive and the newest state of the
    engine, so after a lost datagram or answer the order is simply repeated.
    An order to copy experts is not repeated once the engine has answered it.
    Directives of an older term are ignored, so a replaced leader that resumes
    after a pause has no effect.
    """

    def __init__(self):
        self._state = None
        self._directive = None
        self._term = _INITIAL_TERM
        self._is_busy = False
        self._last_order = None
        self._last_arm_order = None
        self._last_copy_order = None
        self._last_unknown_step = -1
        self._answered_copy_order = None

    @property
    def state(self):
        """Return the engine's newest state; None before the first one."""
        return self._state

    @property
    def directive(self):
        """Return the newest directive; None before the first one."""
        return self._directive

    @property
    def may_be_armed(self):
        """Return whether an order may still arm the engine.

        An order for a pass that has begun has no effect. The orders of an
        agent that ran before this one are for passes that were at most
        ``MAX_PASSES_AHEAD`` ahead, and for maps that were prepared then.
        """
        state, order = self._state, self._last_arm_order
        if state is None:
            return True
        if (
            state.step <= self._last_unknown_step
            and not self._has_ordered_prepared_map()
        ):
            return True
        return (
            order is not None
            and order.epoch == state.epoch
            and order.step > state.step
        )

    def _has_ordered_prepared_map(self):
        """Return whether this agent ordered to prepare the engine's next map.

        No agent before it can have given an order to use that map.
        """
        order = self._last_copy_order
        return (
            order is not None
            and order.epoch == self._state.epoch
            and order.expert_map.version == self._state.prepared
        )

    @property
    def sequence(self):
        """Return the sequence number of the newest accepted directive."""
        return 0 if self._directive is None else self._directive.sequence

    @property
    def term(self):
        """Return the newest term from which a directive was accepted."""
        return self._term

    @functools.singledispatchmethod
    def apply(self, event):
        """Process an event and return the next order, or None.

        Raise ``UnknownEvent`` for an event of another type.
        """
        raise exceptions.UnknownEvent(event=event)

    @apply.register
    def _(self, event: events.EngineObserved):
        if self._state is None:
            self._last_unknown_step = event.state.step + conf.MAX_PASSES_AHEAD
        self._state = event.state
        return self._choose_order()

    @apply.register
    def _(self, event: events.DirectiveReceived):
        if self.accept_directive(event.directive):
            return self._choose_order()
        return None

    @apply.register
    def _(self, event: events.OrderEnded):
        self._is_busy = False
        is_copy = isinstance(self._last_order, decisions.Prepare)
        if is_copy and event.result is not events.OrderResult.UNKNOWN:
            self._answered_copy_order = self._last_order
        return None

    def accept_directive(self, directive):
        """Accept a directive if it is newer; return whether it was accepted.

        The orders that it requires are chosen at the next observation of the
        engine.
        """
        if self._state is not None and directive.group != self._state.group:
            return False
        if directive.term < self._term or self._is_stale(directive):
            return False
        self._term = directive.term
        self._directive = directive
        return True

    def attach_map(self, expert_map):
        """Add the map to the directive, if the directive has its version.

        The orders that it requires are chosen at the next observation of the
        engine.
        """
        directive = self._directive
        if directive is not None and directive.version == expert_map.version:
            self._directive = dataclasses.replace(
                directive, expert_map=expert_map
            )

    def _is_stale(self, directive):
        current = self._directive
        return (
            current is not None
            and current.term == directive.term
            and directive.sequence <= current.sequence
        )

    def _choose_order(self):
        if self._is_busy or not self._has_matching_directive():
            return None
        order = _ORDERS_BY_PHASE[self._directive.phase](
            self._directive, self._state
        )
        if order is not None and order == self._answered_copy_order:
            # The engine reports the end of the copy in its state; a second
            # order would start the copy again.
            return None
        self._is_busy = order is not None
        self._last_order = order
        if isinstance(order, decisions.Arm):
            self._last_arm_order = order
        elif isinstance(order, decisions.Prepare):
            self._last_copy_order = order
        return order

    def _has_matching_directive(self):
        directive, state = self._directive, self._state
        return (
            directive is not None
            and state is not None
            and directive.group == state.group
            and directive.epoch == state.epoch
        )


def _order_nothing(directive, state):
    return None


def _release_stale_hold(directive, state):
    """Release a hold of no current change, such as one ordered late."""
    if state.held is None:
        return None
    return decisions.Go(epoch=state.epoch, step=state.held)


def _prepare(directive, state):
    if state.held is not None and state.rank != directive.hold_rank:
        return _release_stale_hold(directive, state)
    version = directive.version
    if state.prepared == version or state.newest_version >= version:
        return None
    if directive.expert_map is None:
        # The map is sent separately and has not arrived.
        return None
    return decisions.Prepare(
        epoch=state.epoch, expert_map=directive.expert_map
    )


def _hold(directive, state):
    """Release a stale hold; the leader orders the hold of this change itself.

    A hold of a later pass is from a newer directive that has not arrived.
    """
    if state.held is None:
        return None
    if state.rank == directive.hold_rank and state.held >= directive.step:
        return None
    return _release_stale_hold(directive, state)


def _has_earlier_hold(directive, state):
    """Return whether the engine holds a pass before that of the change.

    Such a hold was ordered for an earlier change and carried out late.
    """
    return state.held is not None and state.held < directive.step


def _arm(directive, state):
    if _has_earlier_hold(directive, state):
        return _release_stale_hold(directive, state)
    if state.rank == directive.term.rank:
        # The leader arms its own rank after all others.
        return None
    version = directive.version
    if state.armed == version or state.prepared != version:
        return None
    if state.step >= directive.step:
        return None
    return decisions.Arm(
        epoch=state.epoch, version=version, step=directive.step
    )


def _release(directive, state):
    if _has_earlier_hold(directive, state):
        return _release_stale_hold(directive, state)
    if state.rank != directive.hold_rank or state.held != directive.step:
        return None
    return decisions.Go(epoch=state.epoch, step=directive.step)


_ORDERS_BY_PHASE = {
    _Phase.LEARN: _order_nothing,
    _Phase.IDLE: _release_stale_hold,
    _Phase.PREPARE: _prepare,
    _Phase.HOLD: _hold,
    _Phase.ARM: _arm,
    _Phase.RELEASE: _release,
}
