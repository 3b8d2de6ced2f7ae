"""Bring one rank's engine to what the leader wants."""

import dataclasses
import functools

from savoryyoke.groups import exceptions
from savoryyoke.groups.rollout import decisions
from savoryyoke.groups.rollout import events
from savoryyoke.groups.rollout import models

_Phase = models.Phase
_NO_TERM = models.Term(number=0, rank=-1)


class RankAgent:
    """Own the orders to one engine, one at a time.

    Works on the newest directive and the newest state of the engine, so a
    lost datagram or answer costs a repetition and no more. An order to copy
    experts is not repeated once the engine has answered it. The directive of
    an older term is dropped: a leader that wakes up late moves nothing.
    """

    def __init__(self):
        self._state = None
        self._directive = None
        self._term = _NO_TERM
        self._is_busy = False
        self._given = None
        self._settled = None

    @property
    def state(self):
        """Return the newest state of the engine, or None before any."""
        return self._state

    @property
    def directive(self):
        """Return the newest directive, or None before any."""
        return self._directive

    @property
    def term(self):
        """Return the newest term that the agent follows."""
        return self._term

    @functools.singledispatchmethod
    def apply(self, event):
        """Take in an event and return the next order, or None."""
        raise exceptions.UnknownEvent(event=event)

    @apply.register
    def _(self, event: events.EngineObserved):
        self._state = event.state
        return self._choose_order()

    @apply.register
    def _(self, event: events.DirectiveReceived):
        if self.follow(event.directive):
            return self._choose_order()
        return None

    @apply.register
    def _(self, event: events.OrderEnded):
        self._is_busy = False
        is_copy = isinstance(self._given, decisions.Prepare)
        if is_copy and event.result is not events.OrderResult.UNKNOWN:
            self._settled = self._given
        return None

    def follow(self, directive):
        """Take over a directive; return whether it is newer than known.

        Orders follow with the next observation.
        """
        if self._state is not None and directive.group != self._state.group:
            return False
        if directive.term < self._term or self._is_stale(directive):
            return False
        self._term = directive.term
        self._directive = directive
        return True

    def learn_map(self, expert_map):
        """Complete the directive that names a map.

        Orders follow with the next observation.
        """
        directive = self._directive
        if directive is not None and directive.version == expert_map.version:
            self._directive = dataclasses.replace(
                directive, expert_map=expert_map
            )

    def _is_stale(self, directive):
        known = self._directive
        return (
            known is not None
            and known.term == directive.term
            and directive.sequence <= known.sequence
        )

    def _choose_order(self):
        if self._is_busy or not self._is_directed():
            return None
        order = _ORDERS_BY_PHASE[self._directive.phase](
            self._directive, self._state
        )
        if order is not None and order == self._settled:
            # The copy shows when it is whole; a second order repeats it.
            return None
        self._is_busy = order is not None
        self._given = order
        return order

    def _is_directed(self):
        directive, state = self._directive, self._state
        return (
            directive is not None
            and state is not None
            and directive.group == state.group
            and directive.epoch == state.epoch
        )


def _stay(directive, state):
    return None


def _clear(directive, state):
    """Release a hold that belongs to no change, such as a late order's."""
    if state.held is None:
        return None
    return decisions.Go(epoch=state.epoch, step=state.held)


def _prepare(directive, state):
    if state.held is not None:
        return _clear(directive, state)
    version = directive.version
    if state.prepared == version or state.newest_version >= version:
        return None
    if directive.expert_map is None:
        # The map is on its way.
        return None
    return decisions.Prepare(
        epoch=state.epoch, expert_map=directive.expert_map
    )


def _hold(directive, state):
    if state.held not in (None, directive.step):
        return _clear(directive, state)
    if state.rank != directive.hold_rank or state.held == directive.step:
        return None
    if state.step >= directive.step:
        return None
    return decisions.Hold(epoch=state.epoch, step=directive.step)


def _arm(directive, state):
    version = directive.version
    if state.armed == version or state.prepared != version:
        return None
    if state.step >= directive.step:
        return None
    return decisions.Arm(
        epoch=state.epoch, version=version, step=directive.step
    )


def _release(directive, state):
    if state.rank != directive.hold_rank or state.held != directive.step:
        return None
    return decisions.Go(epoch=state.epoch, step=directive.step)


_ORDERS_BY_PHASE = {
    _Phase.LEARN: _stay,
    _Phase.IDLE: _clear,
    _Phase.PREPARE: _prepare,
    _Phase.HOLD: _hold,
    _Phase.ARM: _arm,
    _Phase.RELEASE: _release,
}
