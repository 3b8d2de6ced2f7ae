"""Send one attempt of a non-idempotent request to its bound target."""

import dataclasses
import functools

import anyio

from savoryyoke.calls.attempts import decisions as attempt_decisions
from savoryyoke.calls.attempts import events as attempt_events
from savoryyoke.calls.attempts import machine
from savoryyoke.calls import exceptions as calls_exceptions
from savoryyoke.calls import keys
from savoryyoke.calls.ledger import events as ledger_events
from savoryyoke.calls.ledger import snapshots
from savoryyoke.calls import outcomes
from savoryyoke_edge import logs
from savoryyoke_edge import problems
from savoryyoke_entry import conf
from savoryyoke_entry import exceptions
from savoryyoke_entry import keyed_outcomes
from savoryyoke_wire import messages


@dataclasses.dataclass(frozen=True, kw_only=True)
class Arrival:
    """Describe the state of this entry when a request's head was read.

    ``at_s`` is a monotonic time. ``is_doubtful`` says that this process may
    have been paused, so that the request may have arrived before ``at_s``.
    ``is_bound`` says that the request's key names a target. ``stamp_ms`` is
    the newest stamp held for the key, or 0 without one. A stamp looked up
    later, with the body, might be newer than a refusal of the key.
    """

    at_s: float
    is_doubtful: bool
    is_bound: bool
    stamp_ms: int


def record_arrival(scope, *, routes, is_doubtful, now_s):
    """Return the ``Arrival`` of a request whose head was just read."""
    key = _find_key(scope)
    return Arrival(
        at_s=now_s,
        is_doubtful=is_doubtful,
        is_bound=key is not None,
        stamp_ms=routes.find_stamp_ms(key) if key is not None else 0,
    )


def _find_key(scope):
    for name, value in scope['headers']:
        if name != conf.KEY_HEADER.encode():
            continue
        try:
            return keys.parse(value.decode('latin-1'))
        except calls_exceptions.InvalidKey:
            return None
    return None


class KeyedRelay:
    """Run one attempt of a non-idempotent request.

    ``fleet`` is the ``fleet.Fleet`` with the links and stamps, and
    ``carried`` holds the answers that this entry has already sent. If there
    is a ``refusal``, a ``problems.Problem``, the call must not run: its key
    is sealed, and the refusal is sent unless the call ran before.
    """

    def __init__(
        self,
        *,
        request,
        caller,
        fleet,
        carried,
        limits,
        clock,
        attempt_id,
        arrival,
        refusal=None,
    ):
        self._request = request
        self._refusal = refusal
        self._caller = caller
        self._fleet = fleet
        self._carried = carried
        self._limits = limits
        self._clock = clock
        self._attempt_id = attempt_id
        self._arrival = arrival
        self._attempt = None
        self._task_group = None
        self._outcome = None
        self._state_changed = anyio.Event()

    async def run(self):
        """Answer the caller; return the name of the outcome."""
        try:
            key = keys.parse(self._request.key)
        except calls_exceptions.InvalidKey as error:
            return await self._refuse_unbound(str(error))
        self._attempt = self._build_attempt(key)
        async with anyio.create_task_group() as tasks:
            self._task_group = tasks
            tasks.start_soon(self._watch_disconnect)
            self._feed(self._build_first_event())
            await self._wait_for_outcome()
            tasks.cancel_scope.cancel()
        if self._outcome is None:
            return 'caller-gone'
        if self._refusal is not None:
            if isinstance(self._outcome, outcomes.NotRun):
                return await self._refuse(self._outcome)
        return await keyed_outcomes.send_outcome(self._outcome, self._caller)

    def _build_first_event(self):
        """Return the event on which the attempt sends its call or its seal."""
        if self._refusal is None:
            return attempt_events.Started()
        return attempt_events.Ticked()

    async def _refuse(self, outcome):
        problem = dataclasses.replace(
            self._refusal, same_key_may_return=outcome.same_key_may_return
        )
        await self._caller.send_problem(problem)
        return problem.name

    def _build_attempt(self, key):
        deadline_s = self._request.deadline_s
        limits = self._limits
        if self._refusal is not None:
            # An attempt within the seal margin of its deadline only seals.
            deadline_s = min(deadline_s, self._clock() + conf.SEAL_TIMEOUT_S)
            limits = dataclasses.replace(
                limits, seal_margin_s=conf.SEAL_TIMEOUT_S
            )
        target_id = self._fleet.routes.find_target(key)
        logs.write_event(
            'target_bound',
            call=self._attempt_id,
            service=self._request.route.service_name,
            team=self._request.team_name,
            target=target_id,
            reason='heir' if target_id != key.target_id else 'key',
            doubtful=self._arrival.is_doubtful,
        )
        return machine.Attempt(
            attempt_id=self._attempt_id,
            key=key,
            fingerprint=self._request.fingerprint,
            target_id=target_id,
            stamp_ms=self._arrival.stamp_ms,
            deadline_s=deadline_s,
            may_predate_pause=self._arrival.is_doubtful,
            forwarded_answers=self._carried,
            limits=limits,
        )

    async def _refuse_unbound(self, detail):
        binding = self._fleet.make_binding(self._request.route.service_name)
        await self._caller.send_problem(
            problems.Problem(
                name='binding-required',
                detail=detail,
                retry_after_s=0.0,
                same_key_may_return=False,
                binding=binding or '',
            )
        )
        return 'unbound'

    async def _watch_disconnect(self):
        await self._caller.gone.wait()
        self._feed(attempt_events.CallerLeft())
        self._state_changed.set()

    async def _wait_for_outcome(self):
        while True:
            next_tick_s = self._attempt.next_tick_s
            if next_tick_s is None or self._outcome is not None:
                return
            with anyio.move_on_at(next_tick_s):
                await self._state_changed.wait()
            self._state_changed = anyio.Event()
            self._feed(attempt_events.Ticked())

    def _feed(self, event):
        for decision in self._attempt.apply(event, now_s=self._clock()):
            self._carry_out(decision)

    @functools.singledispatchmethod
    def _carry_out(self, decision):
        raise exceptions.EntryError(f'unknown decision {decision}')

    @_carry_out.register
    def _(self, decision: attempt_decisions.Deliver):
        self._outcome = decision.outcome
        self._state_changed.set()

    @_carry_out.register
    def _(self, decision: attempt_decisions.Send):
        # When the caller disconnects, the tasks of its attempt are cancelled.
        # The last message is therefore sent here, without a task, if there
        # is a connection.
        try:
            link = self._fleet.get_link(decision.target_id)
            channel = self._send(link, decision.message)
        except exceptions.LinkDown:
            self._task_group.start_soon(self._connect_and_send, decision)
            return
        self._task_group.start_soon(
            self._receive, channel, decision.message.number
        )

    def _send(self, link, message):
        channel = link.open_channel()
        link.send(self._build_call(channel, message))
        return channel

    async def _connect_and_send(self, decision):
        """Connect to the target, then send the message."""
        number = decision.message.number
        try:
            link = await self._fleet.connect_target(decision.target_id)
            channel = self._send(link, decision.message)
        except exceptions.LinkDown:
            await self._report_unreachable(number)
            return
        await self._receive(channel, number)

    async def _report_unreachable(self, number):
        self._feed(
            attempt_events.TargetUnreachable(
                number=number, heir=self._find_heir()
            )
        )
        self._state_changed.set()

    def _find_heir(self):
        key = self._attempt.key
        target_id = self._fleet.routes.find_target(key)
        if target_id == key.target_id:
            return None
        return snapshots.Heir(target_id=target_id, incarnation=key.incarnation)

    async def _receive(self, channel, number):
        head = None
        body_parts = []
        try:
            while True:
                message = await channel.get()
                match message:
                    case messages.Head():
                        head = message
                    case messages.Chunk():
                        body_parts.append(message.data)
                    case messages.End():
                        answer = keyed_outcomes.build_answer(head, body_parts)
                        self._handle_outcome(number, answer)
                        return
                    case messages.Refusal():
                        self._handle_outcome(
                            number, keyed_outcomes.read_refusal(message)
                        )
                        return
                    case messages.Redirect():
                        self._handle_redirect(number, message)
                        return
                    case _:
                        await self._report_unreachable(number)
                        return
        finally:
            channel.close(cancel=False)

    def _handle_outcome(self, number, outcome):
        self._feed(
            attempt_events.OutcomeReceived(number=number, outcome=outcome)
        )
        self._state_changed.set()

    def _handle_redirect(self, number, redirect):
        heir = snapshots.Heir(
            target_id=redirect.heir_target_id,
            incarnation=redirect.heir_incarnation,
        )
        self._fleet.routes.apply_handover(
            incarnation=self._attempt.key.incarnation,
            heir=heir,
            stamp_ms=redirect.stamp_ms,
        )
        self._feed(attempt_events.Redirected(number=number, heir=heir))
        self._state_changed.set()

    def _build_call(self, channel, message):
        request = self._request
        is_seal = isinstance(message, ledger_events.SealRequested)
        remaining_s = request.deadline_s - self._clock()
        return messages.Call(
            call_id=channel.call_id,
            service=request.route.service_name,
            operation=request.route.operation_name,
            team=request.team_name,
            team_weight=request.team_weight,
            priority=request.priority,
            remaining_ms=max(1, int(remaining_s * 1000)),
            idempotent=False,
            method=request.method,
            path=request.path,
            headers=() if is_seal else request.headers,
            body=b'' if is_seal else request.body,
            key=message.key.format(),
            fingerprint=message.fingerprint,
            stamp_ms=0 if is_seal else max(0, message.stamp_ms),
            cost=request.cost,
            seal_only=is_seal,
            attempt=message.attempt_id,
            number=message.number,
        )
