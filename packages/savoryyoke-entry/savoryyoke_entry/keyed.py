"""Carry one attempt of a non-idempotent request to its bound target."""

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
    """Hold what was so when the head of a request was read.

    ``bound`` tells whether its key names a target. ``stamp_ms`` is the newest
    stamp held for the key, 0 without one. Read later, with the body, it might
    be newer than a refusal of the key.
    """

    at_s: float
    doubtful: bool
    bound: bool
    stamp_ms: int


def note_arrival(scope, *, routes, doubtful, now_s):
    """Return the ``Arrival`` of a request whose head was just read."""
    key = _find_key(scope)
    return Arrival(
        at_s=now_s,
        doubtful=doubtful,
        bound=key is not None,
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
    """Own one attempt of a non-idempotent request.

    ``fleet`` knows the links and stamps, ``carried`` the answers that this
    entry has passed on before. With a ``refusal`` the call must not run:
    its key is sealed, and the refusal sent if the call has not run.
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
        self._tasks = None
        self._outcome = None
        self._changed = anyio.Event()

    async def run(self):
        """Answer the caller; return the name of the outcome."""
        try:
            key = keys.parse(self._request.key)
        except calls_exceptions.InvalidKey as error:
            return await self._refuse_unbound(str(error))
        self._attempt = self._build_attempt(key)
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._watch_caller)
            self._feed(self._build_first_event())
            await self._wait()
            tasks.cancel_scope.cancel()
        if self._outcome is None:
            return 'caller-gone'
        if self._refusal is not None:
            if isinstance(self._outcome, outcomes.NotRun):
                return await self._refuse(self._outcome)
        return await keyed_outcomes.send_outcome(self._outcome, self._caller)

    def _build_first_event(self):
        """Return the event that makes the attempt offer or seal its key."""
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
            # An attempt that wakes within its margin does nothing but seal.
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
            doubtful=self._arrival.doubtful,
        )
        return machine.Attempt(
            attempt_id=self._attempt_id,
            key=key,
            fingerprint=self._request.fingerprint,
            target_id=target_id,
            stamp_ms=self._arrival.stamp_ms,
            deadline_s=deadline_s,
            may_predate_pause=self._arrival.doubtful,
            forwarded_answers=self._carried,
            limits=limits,
        )

    async def _refuse_unbound(self, detail):
        binding = self._fleet.bind(self._request.route.service_name)
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

    async def _watch_caller(self):
        await self._caller.gone.wait()
        self._feed(attempt_events.CallerLeft())
        self._changed.set()

    async def _wait(self):
        while True:
            next_tick_s = self._attempt.next_tick_s
            if next_tick_s is None or self._outcome is not None:
                return
            with anyio.move_on_at(next_tick_s):
                await self._changed.wait()
            self._changed = anyio.Event()
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
        self._changed.set()

    @_carry_out.register
    def _(self, decision: attempt_decisions.Send):
        # A caller that left cancels the tasks of its attempt, so the last
        # message goes out here, if there is a connection.
        try:
            link = self._fleet.get_link(decision.target_id)
            channel = self._send(link, decision.message)
        except exceptions.LinkDown:
            self._tasks.start_soon(self._reach, decision)
            return
        self._tasks.start_soon(self._receive, channel, decision.message.number)

    def _send(self, link, message):
        channel = link.open_channel()
        link.send(self._build_call(channel, message))
        return channel

    async def _reach(self, decision):
        """Connect to the target first, then send."""
        number = decision.message.number
        try:
            link = await self._fleet.reach(decision.target_id)
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
        self._changed.set()

    def _find_heir(self):
        key = self._attempt.key
        target_id = self._fleet.routes.find_target(key)
        if target_id == key.target_id:
            return None
        return snapshots.Heir(target_id=target_id, incarnation=key.incarnation)

    async def _receive(self, channel, number):
        head = None
        parts = []
        try:
            while True:
                message = await channel.get()
                match message:
                    case messages.Head():
                        head = message
                    case messages.Chunk():
                        parts.append(message.data)
                    case messages.End():
                        answer = keyed_outcomes.build_answer(head, parts)
                        self._take_outcome(number, answer)
                        return
                    case messages.Refusal():
                        self._take_outcome(
                            number, keyed_outcomes.read_refusal(message)
                        )
                        return
                    case messages.Redirect():
                        self._follow(number, message)
                        return
                    case _:
                        await self._report_unreachable(number)
                        return
        finally:
            channel.close(cancel=False)

    def _take_outcome(self, number, outcome):
        self._feed(
            attempt_events.OutcomeReceived(number=number, outcome=outcome)
        )
        self._changed.set()

    def _follow(self, number, redirect):
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
        self._changed.set()

    def _build_call(self, channel, message):
        request = self._request
        sealing = isinstance(message, ledger_events.SealRequested)
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
            headers=() if sealing else request.headers,
            body=b'' if sealing else request.body,
            key=message.key.format(),
            fingerprint=message.fingerprint,
            stamp_ms=0 if sealing else max(0, message.stamp_ms),
            cost=request.cost,
            seal_only=sealing,
            attempt=message.attempt_id,
            number=message.number,
        )
