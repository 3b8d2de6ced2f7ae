"""Forward one order at a time to an engine, and refuse outdated orders."""

import functools

from savoryyoke.groups import exceptions
from savoryyoke.groups.orders import decisions
from savoryyoke.groups.orders import events
from savoryyoke.groups.orders import messages
from savoryyoke.groups.orders import tokens


class OrderGate:
    """Check the orders to the engine that runs beside this process.

    The engine receives orders only from the gate. The gate replaces the check
    for engines that ignore fencing numbers, and saves other engines orders
    that they would refuse.
    """

    def __init__(self, *, incarnation, enforcement):
        """Start before the engine's state has been read.

        ``incarnation`` is a random number that identifies this process.
        ``enforcement`` is the ``messages.Enforcement`` of the engine.
        """
        self._incarnation = incarnation
        self._enforcement = enforcement
        self._engine_incarnation = None
        self._highest_token = None
        self._revision = 0
        self._pending_token = None

    def view(self, *, now_s):
        """Return the GateView that a writer needs to make an order."""
        return messages.GateView(
            gate_incarnation=self._incarnation,
            engine_incarnation=self._engine_incarnation,
            gate_clock_s=now_s,
            highest_token=self._highest_token,
        )

    @functools.singledispatchmethod
    def apply(self, event, *, now_s):
        """Apply ``event`` and return a tuple of decisions.

        Raises UnknownEvent if there is no handler for the type of event.
        """
        raise exceptions.UnknownEvent(event=event)

    @apply.register
    def _(self, event: events.EngineStateRead, *, now_s):
        if self._pending_token is not None:
            return ()
        self._engine_incarnation = event.incarnation
        if event.last_token is not None:
            self._raise_highest_token(event.last_token)
        return ()

    @apply.register
    def _(self, event: events.EngineStateUnknown, *, now_s):
        self._engine_incarnation = None
        pending_token, self._pending_token = self._pending_token, None
        read_engine = (decisions.ReadEngine(),)
        if pending_token is None:
            return read_engine
        return read_engine + (
            decisions.OrderEnded(token=pending_token, succeeded=None),
        )

    @apply.register
    def _(self, event: events.RevisionReceived, *, now_s):
        self._revision = max(self._revision, event.revision)
        return ()

    @apply.register
    def _(self, event: events.OrderReceived, *, now_s):
        order = event.order
        reason = self._find_refusal_reason(order, now_s)
        if reason is not None:
            return (decisions.OrderRefused(token=order.token, reason=reason),)
        self._raise_highest_token(order.token)
        self._pending_token = order.token
        return (
            decisions.ForwardOrder(
                content=order.content,
                token=order.token,
                fencing_number=order.token.encode(),
                deadline_s=order.view.gate_clock_s + order.valid_s,
            ),
        )

    @apply.register
    def _(self, event: events.EngineAnswered, *, now_s):
        if event.token != self._pending_token:
            return ()
        self._pending_token = None
        return (
            decisions.OrderEnded(token=event.token, succeeded=event.succeeded),
        )

    def _find_refusal_reason(self, order, now_s):
        """Return the reason to refuse the order, or None."""
        view = order.view
        if self._enforcement is messages.Enforcement.NONE:
            return 'neither the engine nor the slot refuses outdated orders'
        if view.gate_incarnation != self._incarnation:
            return 'the order was made for an earlier process of the gate'
        if self._engine_incarnation is None:
            return 'the state of the engine has not been read yet'
        if view.engine_incarnation != self._engine_incarnation:
            return 'the order was made for another incarnation of the engine'
        if now_s > view.gate_clock_s + order.valid_s:
            return 'the deadline of the order has passed'
        if self._pending_token is not None:
            return 'another order is in progress'
        if order.token.revision < self._revision:
            return 'the order was made from an outdated configuration'
        if (
            self._highest_token is not None
            and order.token <= self._highest_token
        ):
            return 'an order with the same or a newer token was forwarded'
        if view.highest_token != self._highest_token:
            return 'the order was made without reading the newest token'
        return None

    def _raise_highest_token(self, token):
        if self._highest_token is None or token > self._highest_token:
            self._highest_token = token


def make_order(*, content, view, revision, writer, valid_s):
    """Return a FencedOrder based on the GateView ``view``.

    Return None if the configuration of ``revision`` is outdated. ``writer`` is
    a small hash of the writer; the order is valid for ``valid_s``.
    """
    token = tokens.next_token(
        highest_token=view.highest_token, revision=revision, writer=writer
    )
    if token is None:
        return None
    return messages.FencedOrder(
        content=content, token=token, view=view, valid_s=valid_s
    )
