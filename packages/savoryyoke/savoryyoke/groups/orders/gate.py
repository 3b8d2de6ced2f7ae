"""Let one order at a time through to an engine, and no outdated one."""

import functools

from savoryyoke.groups import exceptions
from savoryyoke.groups.orders import decisions
from savoryyoke.groups.orders import events
from savoryyoke.groups.orders import messages
from savoryyoke.groups.orders import tokens


class OrderGate:
    """Check the orders to the engine beside this process.

    The gate is the engine's only source of orders. It replaces the check of
    engines that ignore fencing numbers, and spares the others wasted orders.
    """

    def __init__(self, *, incarnation, enforcement):
        """Start without knowledge of the engine; ``incarnation`` is random."""
        self._incarnation = incarnation
        self._enforcement = enforcement
        self._engine_incarnation = None
        self._highest = None
        self._revision = 0
        self._under_way = None

    def view(self, *, now_s):
        """Return the GateView that a writer needs."""
        return messages.GateView(
            gate_incarnation=self._incarnation,
            engine_incarnation=self._engine_incarnation,
            stamp_s=now_s,
            highest=self._highest,
        )

    @functools.singledispatchmethod
    def apply(self, event, *, now_s):
        """Take in ``event`` and return a tuple of decisions."""
        raise exceptions.UnknownEvent(event=event)

    @apply.register
    def _(self, event: events.EngineSeen, *, now_s):
        if self._under_way is not None:
            return ()
        self._engine_incarnation = event.incarnation
        if event.last is not None:
            self._raise_highest(event.last)
        return ()

    @apply.register
    def _(self, event: events.EngineUnsure, *, now_s):
        self._engine_incarnation = None
        under_way, self._under_way = self._under_way, None
        read = (decisions.ReadEngine(),)
        if under_way is None:
            return read
        return read + (decisions.OrderEnded(token=under_way, succeeded=None),)

    @apply.register
    def _(self, event: events.RevisionLearnt, *, now_s):
        self._revision = max(self._revision, event.revision)
        return ()

    @apply.register
    def _(self, event: events.OrderReceived, *, now_s):
        order = event.order
        reason = self._find_fault(order, now_s)
        if reason is not None:
            return (decisions.OrderRefused(token=order.token, reason=reason),)
        self._raise_highest(order.token)
        self._under_way = order.token
        return (
            decisions.ForwardOrder(
                content=order.content,
                token=order.token,
                number=order.token.encode(),
                deadline_s=order.view.stamp_s + order.valid_s,
            ),
        )

    @apply.register
    def _(self, event: events.EngineAnswered, *, now_s):
        if event.token != self._under_way:
            return ()
        self._under_way = None
        return (
            decisions.OrderEnded(token=event.token, succeeded=event.succeeded),
        )

    def _find_fault(self, order, now_s):
        """Return why the order is refused, or None."""
        view = order.view
        if self._enforcement is messages.Enforcement.NONE:
            return 'nobody refuses outdated orders to this engine'
        if view.gate_incarnation != self._incarnation:
            return 'made for an earlier process of this slot'
        if self._engine_incarnation is None:
            return 'the engine was not read yet'
        if view.engine_incarnation != self._engine_incarnation:
            return 'made for another incarnation of the engine'
        if now_s > view.stamp_s + order.valid_s:
            return 'its deadline has passed'
        if self._under_way is not None:
            return 'another order is under way'
        if order.token.revision < self._revision:
            return 'made from an outdated configuration'
        if self._highest is not None and order.token <= self._highest:
            return 'a newer order went before'
        if view.highest != self._highest:
            return 'made without knowledge of the newest order'
        return None

    def _raise_highest(self, token):
        if self._highest is None or token > self._highest:
            self._highest = token


def make_order(*, content, view, revision, writer, valid_s):
    """Return a FencedOrder for what ``view`` shows, or None if outdated."""
    token = tokens.next_token(
        seen=view.highest, revision=revision, writer=writer
    )
    if token is None:
        return None
    return messages.FencedOrder(
        content=content, token=token, view=view, valid_s=valid_s
    )
