"""Carry out the decisions of the configuration propagation."""

import functools
import itertools

import anyio

from savoryyoke.membership import messages as membership_messages
from savoryyoke.propagation import decisions
from savoryyoke.propagation import events
from savoryyoke_edge.control import conf
from savoryyoke_edge.control import exchange
from savoryyoke_edge import exceptions
from savoryyoke_edge import logs
from savoryyoke_wire import messages


class PropagationDriver:
    """Own the propagation aggregate and carry out its decisions.

    ``find_address(vm_id)`` returns the control address of a process, or None.
    ``owner`` has ``apply_configuration(decision)``, ``report(decision)`` and
    ``send_summary(versions)``.
    """

    def __init__(
        self,
        *,
        propagation,
        reader,
        exchange,
        find_address,
        tasks,
        clock,
        owner,
    ):
        self._propagation = propagation
        self._reader = reader
        self._exchange = exchange
        self._find_address = find_address
        self._tasks = tasks
        self._clock = clock
        self._owner = owner
        self._request_numbers = itertools.count(1)
        self._pending_replies_by_number = {}

    async def run(self):
        """Feed ticks to the propagation until cancelled."""
        while True:
            self.feed(events.Ticked())
            await anyio.sleep(conf.PROPAGATION_TICK_S)

    def feed(self, event):
        """Apply an event to the propagation and carry out its decisions."""
        for decision in self._propagation.apply(event, now_s=self._clock()):
            self._carry_out(decision)

    def answer(self, request, reply):
        """Pass a peer's request to the propagation.

        ``reply(message)`` sends the answer. Ignore other message types.
        """
        number = next(self._request_numbers)
        self._pending_replies_by_number[number] = (reply, request.request_id)
        match request:
            case messages.StateRequest():
                event = events.StateRequested(
                    request_id=number, site=request.site
                )
            case messages.DocumentRequest():
                event = events.DocumentRequested(
                    request_id=number,
                    name=request.name,
                    revision=request.revision,
                )
            case _:
                del self._pending_replies_by_number[number]
                return
        self.feed(event)

    @functools.singledispatchmethod
    def _carry_out(self, decision):
        raise exceptions.EdgeError(f'unknown decision {decision}')

    @_carry_out.register
    def _(self, decision: decisions.Apply):
        self._owner.apply_configuration(decision)

    @_carry_out.register
    def _(self, decision: decisions.Report):
        self._owner.report(decision)

    @_carry_out.register
    def _(self, decision: decisions.SendSummary):
        self._owner.send_summary(decision.versions)

    @_carry_out.register
    def _(self, decision: decisions.ReadPlatform):
        self._tasks.start_soon(self._read_platform, decision)

    @_carry_out.register
    def _(self, decision: decisions.RequestState):
        self._tasks.start_soon(self._request_state, decision)

    @_carry_out.register
    def _(self, decision: decisions.FetchFrom):
        self._tasks.start_soon(self._fetch, decision)

    @_carry_out.register
    def _(self, decision: decisions.AnswerState):
        reply, request_id = self._pending_replies_by_number.pop(
            decision.request_id
        )
        reply(
            messages.StateAnswer(
                request_id=request_id,
                held=_to_wire(decision.held),
                in_force=_to_wire(decision.in_force),
            )
        )

    @_carry_out.register
    def _(self, decision: decisions.ServeDocument):
        reply, request_id = self._pending_replies_by_number.pop(
            decision.request_id
        )
        reply(
            messages.Document(
                request_id=request_id,
                name=decision.name,
                revision=decision.revision,
                content=decision.text.encode(),
            )
        )
        # The document is now in the outbox of the connection, which has its
        # own size limit.
        self.feed(events.ServeEnded(request_id=decision.request_id))

    @_carry_out.register
    def _(self, decision: decisions.RefuseDocument):
        reply, request_id = self._pending_replies_by_number.pop(
            decision.request_id
        )
        reply(messages.DocumentRefusal(request_id=request_id))

    async def _read_platform(self, decision):
        try:
            value = await self._reader.read_value(
                decision.name,
                after_revision=max(0, decision.after_revision),
                wait_s=decision.timeout_s,
            )
        except exceptions.PlatformUnavailable as error:
            logs.write_event(
                'platform_unavailable',
                level='warning',
                value=decision.name,
                reason=str(error),
            )
            self.feed(events.PlatformFailed(name=decision.name))
            return
        if value is None:
            self.feed(events.PlatformUnchanged(name=decision.name))
            return
        self.feed(
            events.PlatformRead(
                name=decision.name, revision=value.revision, text=value.text
            )
        )

    async def _request_state(self, decision):
        answer = await self._send_request(
            decision.vm_id,
            lambda number: messages.StateRequest(
                request_id=number, site=decision.site
            ),
        )
        if answer is None or not exchange.is_state_answer(answer):
            self.feed(events.StateRequestFailed(vm_id=decision.vm_id))
            return
        self.feed(
            events.StateReceived(
                vm_id=decision.vm_id,
                held=_from_wire(answer.held),
                in_force=_from_wire(answer.in_force),
            )
        )

    async def _fetch(self, decision):
        answer = await self._send_request(
            decision.vm_id,
            lambda number: messages.DocumentRequest(
                request_id=number,
                name=decision.name,
                revision=decision.revision,
            ),
        )
        text = _read_text(answer)
        if text is None:
            event_class = events.FetchFailed
            fields = {}
        else:
            event_class = events.DocumentFetched
            fields = {'text': text}
        self.feed(
            event_class(
                vm_id=decision.vm_id,
                name=decision.name,
                revision=decision.revision,
                **fields,
            )
        )

    async def _send_request(self, vm_id, build_request):
        """Return the answer of a process, or None if there is none."""
        address = self._find_address(vm_id)
        if not address:
            return None
        try:
            return await self._exchange.send_request(address, build_request)
        except exceptions.ConnectionLost as error:
            logs.write_event(
                'exchange_failed', level='debug', vm=vm_id, reason=str(error)
            )
            return None


def _read_text(answer):
    if answer is None or not exchange.is_document(answer):
        return None
    try:
        return answer.content.decode()
    except UnicodeDecodeError:
        return None


def _to_wire(versions):
    return tuple(
        messages.Version(
            name=version.name,
            revision=version.revision,
            digest=version.digest,
        )
        for version in versions
    )


def _from_wire(versions):
    return tuple(
        membership_messages.Version(
            name=version.name,
            revision=version.revision,
            digest=version.digest,
        )
        for version in versions
    )
