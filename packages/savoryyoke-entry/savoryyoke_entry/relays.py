"""Get the whole answer to an idempotent request from the targets."""

import functools
import json

import anyio

from savoryyoke.retries import deadlines
from savoryyoke.retries import decisions as retry_decisions
from savoryyoke.retries import events as retry_events
from savoryyoke.routing import decisions as routing_decisions
from savoryyoke.routing import events as routing_events
from savoryyoke.streams import assembly
from savoryyoke.streams import decisions as stream_decisions
from savoryyoke.streams import events as stream_events
from savoryyoke_edge import logs
from savoryyoke_edge import problems
from savoryyoke_entry import callers
from savoryyoke_entry import conf
from savoryyoke_entry import exceptions
from savoryyoke_wire import messages

_REFUSAL_REASONS = {
    'draining': routing_events.RefusalReason.LEAVING,
}
_FAILURES_BY_REASON = {
    'draining': retry_events.Failure.DRAINING,
}


class Relay:
    """Own one idempotent request until it is answered or refused.

    ``router`` belongs to the request's service and ``links`` maps target
    ids to connections.
    """

    def __init__(self, *, request, caller, service, clock, call_id):
        self._request = request
        self._caller = caller
        self._service = service
        self._clock = clock
        self._call_id = call_id
        self._assembly = assembly.Assembly(resumable=request.streamed)
        self._attempt = 0
        self._resume_index = 0
        self._excluded = set()
        self._head = None
        self._parts = []
        self._unreturned_bytes = 0
        self._finished = False
        self._failed = False
        self._not_run = False
        self._tries = 0
        self._retry_after_s = 0.0
        self._target_id = None
        self._failure = retry_events.Failure.LOST
        self._last_reason = 'no-target'

    async def run(self):
        """Answer the caller; return the name of the outcome."""
        try:
            return await self._run()
        finally:
            left = retry_events.CallerLeft(call_id=self._call_id)
            self._service.feed_retries(left)

    async def _run(self):
        while not self._finished:
            choice = self._choose()
            if isinstance(choice, routing_decisions.NoTarget):
                return await self._refuse(choice)
            self._report_try(choice.target_id)
            await self._try_target(choice)
            given_up = None if self._finished else self._ask_to_repeat()
            if given_up is not None:
                return await self._give_up(given_up)
        return 'answered'

    def _report_try(self, target_id):
        self._target_id = target_id
        self._failure = retry_events.Failure.LOST
        if self._tries:
            event = retry_events.TrySent(
                call_id=self._call_id, target_id=target_id
            )
        else:
            event = retry_events.FirstTry(
                call_id=self._call_id,
                target_id=target_id,
                idempotent=True,
                deadline=deadlines.Deadline(at_s=self._request.deadline_s),
            )
        self._tries += 1
        self._service.feed_retries(event)

    def _ask_to_repeat(self):
        """Return None to try again, else the decision to give up."""
        failure = self._failure
        if self._failed:
            failure = retry_events.Failure.FINAL
        (decision,) = self._service.feed_retries(
            retry_events.TryFailed(
                call_id=self._call_id,
                target_id=self._target_id,
                failure=failure,
                retry_after_s=self._retry_after_s,
            )
        )
        if isinstance(decision, retry_decisions.GiveUp):
            return decision
        return None

    def _choose(self):
        request = routing_decisions.Request(
            service=self._request.route.service_name,
            prefix_digests=self._request.prefix_digests,
            team=self._request.team_name,
            priority=self._request.priority,
            remaining_s=self._request.deadline_s - self._clock(),
            excluded_target_ids=frozenset(self._excluded),
        )
        choice = self._service.router.choose(request, self._clock())
        log_choice(self._call_id, self._attempt, request, choice)
        return choice

    async def _try_target(self, choice):
        link = self._service.get_link(choice.target_id)
        attempt_id = f'{self._call_id}.{self._attempt}'
        self._excluded.add(choice.target_id)
        try:
            channel = link.open_channel()
            link.send(self._build_call(channel))
        except exceptions.LinkDown:
            self._failure = retry_events.Failure.UNREACHABLE
            await self._feed(self._build_broken('target unreachable'))
            return
        self._service.feed(
            routing_events.Dispatched(
                call_id=attempt_id,
                target_id=choice.target_id,
                cost=1.0,
                priority=self._request.priority,
                prefix_digests=self._request.prefix_digests,
            )
        )
        with _Observation(self, attempt_id, choice.target_id) as observation:
            await self._receive(channel, observation)

    async def _receive(self, channel, observation):
        attempt = self._attempt
        done = False
        try:
            with anyio.move_on_at(self._request.deadline_s):
                while attempt == self._attempt and not self._finished:
                    message = await channel.get()
                    observation.see(message)
                    await self._take(message, channel)
                done = True
            if not done:
                self._last_reason = 'deadline'
                self._failed = True
        finally:
            channel.close(cancel=not observation.ended)

    async def _take(self, message, channel):
        match message:
            case messages.Head():
                self._head = message
                event = stream_events.HeadReceived(
                    attempt=self._attempt, status=message.status
                )
            case messages.Chunk():
                event = stream_events.ChunkReceived(
                    attempt=self._attempt,
                    index=message.index,
                    count=message.count,
                    data=message.data,
                )
            case messages.End():
                event = stream_events.EndReceived(
                    attempt=self._attempt, total=message.total
                )
            case messages.Refusal():
                self._note_refusal(message)
                event = self._build_broken(message.reason)
            case _:
                event = self._build_broken('target lost')
        await self._feed(event)
        if isinstance(message, messages.Chunk):
            self._return_credit(channel, len(message.data))

    def _return_credit(self, channel, size_bytes):
        self._unreturned_bytes += size_bytes
        if self._unreturned_bytes >= conf.CREDIT_RETURN_BYTES:
            channel.grant(self._unreturned_bytes)
            self._unreturned_bytes = 0

    def _note_refusal(self, refusal):
        self._retry_after_s = refusal.retry_after_ms / 1000
        if refusal.outcome == messages.Outcome.NOT_RUN:
            self._failure = _FAILURES_BY_REASON.get(
                refusal.reason, retry_events.Failure.OVERLOADED
            )

    def _build_broken(self, reason):
        self._last_reason = reason
        return stream_events.AttemptBroken(
            attempt=self._attempt, reason=reason
        )

    async def _feed(self, event):
        for decision in self._assembly.apply(event):
            await self._carry_out(decision)

    @functools.singledispatchmethod
    async def _carry_out(self, decision):
        raise exceptions.EntryError(f'unknown decision {decision}')

    @_carry_out.register
    async def _(self, decision: stream_decisions.Start):
        headers = [(item.name, item.value) for item in self._head.headers]
        if self._is_event_stream(headers):
            await self._caller.start(
                decision.status, callers.to_pairs(headers)
            )

    @_carry_out.register
    async def _(self, decision: stream_decisions.Deliver):
        if self._caller.started:
            await self._caller.send_part(decision.data)
        else:
            self._parts.append(decision.data)

    @_carry_out.register
    async def _(self, decision: stream_decisions.Finish):
        self._finished = True
        if self._caller.started:
            await self._caller.send_part(callers.DONE, last=True)
            return
        headers = [(item.name, item.value) for item in self._head.headers]
        await self._caller.send_whole(
            self._head.status, headers, b''.join(self._parts)
        )

    @_carry_out.register
    async def _(self, decision: stream_decisions.Resume):
        self._attempt = decision.attempt
        self._resume_index = decision.index
        logs.write_event(
            'attempt_broken',
            call=self._call_id,
            reason=self._last_reason,
            resume_index=decision.index,
        )

    @_carry_out.register
    async def _(self, decision: stream_decisions.Fail):
        self._failed = True
        self._last_reason = decision.reason

    def _is_event_stream(self, headers):
        kinds = [
            value for name, value in headers if name.lower() == 'content-type'
        ]
        return bool(kinds) and kinds[0].startswith(callers.STREAM_TYPE)

    async def _refuse(self, choice):
        """Tell the caller at once that no target is left to ask."""
        if self._tries:
            return await self._send_refusal(
                self._last_reason, choice.retry_after_s
            )
        await self._caller.send_problem(
            problems.Problem(
                name='not-run',
                reason=choice.reason.value,
                retry_after_s=choice.retry_after_s,
            )
        )
        return 'refused'

    async def _give_up(self, given_up):
        logs.write_event(
            'call_given_up',
            call=self._call_id,
            reason=given_up.reason.value,
            not_run=given_up.not_run,
            cause=self._last_reason,
        )
        self._not_run = given_up.not_run
        return await self._send_refusal(
            self._last_reason, given_up.retry_after_s
        )

    async def _send_refusal(self, reason, retry_after_s):
        name = 'not-run' if self._not_run else 'not-answered'
        if self._caller.started:
            name = 'answer-truncated'
        await self._caller.send_problem(
            problems.Problem(
                name=name,
                reason=reason,
                retry_after_s=retry_after_s or conf.RETRY_AFTER_S,
            )
        )
        return 'given-up'

    def _build_call(self, channel):
        request = self._request
        remaining_s = request.deadline_s - self._clock()
        return messages.Call(
            call_id=channel.call_id,
            service=request.route.service_name,
            operation=request.route.operation_name,
            team=request.team_name,
            team_weight=request.team_weight,
            priority=request.priority,
            remaining_ms=max(1, int(remaining_s * 1000)),
            idempotent=True,
            method=request.method,
            path=request.path,
            headers=request.headers,
            body=request.body,
            streamed=request.streamed,
            resume_index=self._resume_index,
            resume_text=self._read_delivered_text(),
            cost=request.cost,
            credit_bytes=conf.CREDIT_BYTES,
        )

    def _read_delivered_text(self):
        """Return the text that the caller already has, for the next engine."""
        if not self._resume_index:
            return ''
        events = self._assembly.delivered.split(b'\n\n')
        return ''.join(_read_text(event) for event in events if event)


class _Observation:
    """Tell the router how one attempt went."""

    def __init__(self, relay, attempt_id, target_id):
        self._service = relay._service
        self._clock = relay._clock
        self._attempt_id = attempt_id
        self._target_id = target_id
        self._started_s = self._clock()
        self._seen_first = False
        self._outcome = routing_events.Outcome.CANCELLED
        self._refused = False
        self.ended = False

    def __enter__(self):
        return self

    def __exit__(self, kind, error, trace):
        if self._refused:
            return
        self._service.feed(
            routing_events.Completed(
                call_id=self._attempt_id,
                outcome=self._outcome,
                latency_s=self._clock() - self._started_s,
            )
        )

    def see(self, message):
        """Take note of one message of the target."""
        match message:
            case messages.Chunk() if not self._seen_first:
                self._seen_first = True
                self._service.feed(
                    routing_events.FirstToken(
                        call_id=self._attempt_id,
                        latency_s=self._clock() - self._started_s,
                    )
                )
            case messages.End():
                self.ended = True
                self._outcome = routing_events.Outcome.ANSWERED
            case messages.Refusal():
                self.ended = True
                self._see_refusal(message)
            case None:
                self.ended = True
                self._outcome = routing_events.Outcome.FAILED

    def _see_refusal(self, refusal):
        self._outcome = routing_events.Outcome.FAILED
        if refusal.outcome != messages.Outcome.NOT_RUN:
            return
        self._refused = True
        self._service.feed(
            routing_events.Refused(
                call_id=self._attempt_id,
                target_id=self._target_id,
                retry_after_s=refusal.retry_after_ms / 1000,
                reason=_REFUSAL_REASONS.get(
                    refusal.reason, routing_events.RefusalReason.OVERLOADED
                ),
            )
        )


def log_choice(call_id, attempt, request, choice):
    """Log what was chosen, from what, and why."""
    if isinstance(choice, routing_decisions.NoTarget):
        logs.write_event(
            'no_target',
            call=call_id,
            attempt=attempt,
            service=request.service,
            team=request.team,
            reason=choice.reason.value,
            retry_after_s=choice.retry_after_s,
        )
        return
    candidates = ','.join(
        f'{item.target_id}:{item.score_s:.4f}' for item in choice.candidates
    )
    logs.write_event(
        'target_chosen',
        call=call_id,
        attempt=attempt,
        service=request.service,
        team=request.team,
        target=choice.target_id,
        reason=choice.reason.value,
        candidates=candidates,
    )


def _read_text(event):
    """Return the text of one server-sent event of a completion."""
    try:
        choice = json.loads(event.removeprefix(b'data: '))['choices'][0]
        if 'text' in choice:
            return str(choice['text'])
        return str(choice['delta'].get('content') or '')
    except (KeyError, IndexError, TypeError, ValueError):
        return ''
