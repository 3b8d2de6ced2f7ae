"""Get the whole answer to an idempotent request from the targets."""

import functools

import anyio

from savoryyoke.quarantine import decisions as quarantine_decisions
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
from savoryyoke_entry import choices
from savoryyoke_entry import conf
from savoryyoke_entry import exceptions
from savoryyoke_entry import observations
from savoryyoke_entry import offers
from savoryyoke_entry import suspects
from savoryyoke_entry import turns
from savoryyoke_wire import conf as wire_conf
from savoryyoke_wire import messages

_FAILURES_BY_REASON = {
    'draining': retry_events.Failure.DRAINING,
    wire_conf.DATA_CENTRE_OUT_REASON: retry_events.Failure.DRAINING,
    'backend_stopped': retry_events.Failure.UNREACHABLE,
}
_ISOLATING_REASONS = frozenset(
    {wire_conf.ISOLATING_REASON, wire_conf.SAME_REQUEST_REASON}
)


class Relay:
    """Own one idempotent request until it is answered or refused.

    ``router`` belongs to the request's service and ``links`` maps target
    ids to connections.
    """

    def __init__(
        self, *, request, caller, service, suspect_requests, clock, call_id
    ):
        self._request = request
        self._suspects = suspect_requests
        self._fingerprint = suspects.compute_fingerprint(request)
        self._choices = choices.TargetChoices(
            request=request,
            service=service,
            fingerprint=self._fingerprint,
            clock=clock,
            call_id=call_id,
        )
        self._held_back = False
        self._quarantined = False
        self._may_have_run = False
        self._caller = caller
        self._service = service
        self._clock = clock
        self._call_id = call_id
        self._assembly = assembly.Assembly(resumable=request.streamed)
        self._attempt = 0
        self._resume_index = 0
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
            verdict = self._suspects.offer(self._call_id, self._fingerprint)
            if self._is_quarantined(verdict):
                return await self._refuse_for_good()
            choice = await self._choices.choose(verdict, self._attempt)
            if isinstance(choice, routing_decisions.NoTarget):
                if self._may_wait(choice):
                    await anyio.sleep(conf.ISOLATION_PAUSE_S)
                    continue
                return await self._refuse(choice)
            await self._try_target(choice)
            if await self._wait_for_suspect():
                continue
            given_up = None if self._finished else self._ask_to_repeat()
            if given_up is not None and not self._quarantined:
                return await self._give_up(given_up)
        if self._head.status < conf.SERVER_ERROR_STATUS:
            self._suspects.note_success(self._fingerprint)
        return 'answered'

    def _may_wait(self, refusal):
        """Tell whether to ask again for want of a target.

        An answer that has begun cannot be refused, only broken off.
        """
        remaining_s = self._request.deadline_s - self._clock()
        return (
            self._caller.started
            and turns.may_find_target(refusal)
            and remaining_s > conf.ISOLATION_RESERVE_S
        )

    def _is_quarantined(self, verdict):
        return self._quarantined or isinstance(
            verdict, quarantine_decisions.RefusePermanently
        )

    async def _wait_for_suspect(self):
        """Return whether to ask again, as another suspect was running.

        Nothing was handed over, so this is not counted as a try.
        """
        remaining_s = self._request.deadline_s - self._clock()
        if not self._held_back or remaining_s < conf.ISOLATION_RESERVE_S:
            return False
        await anyio.sleep(conf.ISOLATION_PAUSE_S)
        return True

    def _report_try(self, target_id):
        self._failure = retry_events.Failure.LOST
        if self._held_back:
            self._held_back = False
            return
        self._target_id = target_id
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
        self._held_back = False
        failure = self._failure
        if failure is retry_events.Failure.LOST:
            self._may_have_run = True
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

    async def _try_target(self, choice):
        self._report_try(choice.target_id)
        attempt_id = f'{self._call_id}.{self._attempt}'
        self._choices.exclude(choice.target_id)
        try:
            link = self._service.get_link(choice.target_id)
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
                team=self._request.team_name,
                prefix_digests=self._request.prefix_digests,
            )
        )
        observation = observations.Observation(
            service=self._service,
            clock=self._clock,
            attempt_id=attempt_id,
            target_id=choice.target_id,
        )
        with observation:
            await self._receive(channel, observation)

    async def _receive(self, channel, observation):
        attempt = self._attempt
        done = False
        try:
            with anyio.move_on_at(self._request.deadline_s):
                while attempt == self._attempt and not self._finished:
                    message = await channel.get()
                    observation.see(message)
                    if self._note_isolation(message, observation.target_id):
                        break
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

    def _note_isolation(self, message, target_id):
        """Return whether a target holds the call back for a suspect."""
        if not isinstance(message, messages.Refusal):
            return False
        self._suspects.take(message.crash_reports)
        if message.reason not in _ISOLATING_REASONS:
            return False
        self._note_refusal(message)
        self._held_back = True
        self._last_reason = message.reason
        self._choices.hold_back(
            target_id, occupied=message.reason == wire_conf.ISOLATING_REASON
        )
        return True

    def _note_refusal(self, refusal):
        if refusal.reason == wire_conf.QUARANTINED_REASON:
            self._quarantined = True
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

    async def _refuse_for_good(self):
        """Tell the caller that sending the request again does not help."""
        name = 'not-answered' if self._may_have_run else 'quarantined'
        if self._caller.started:
            name = 'answer-truncated'
        logs.write_event(
            'call_quarantined',
            call=self._call_id,
            fingerprint=self._fingerprint.hex(),
            may_have_run=self._may_have_run,
        )
        await self._caller.send_problem(
            problems.Problem(name=name, reason=wire_conf.QUARANTINED_REASON)
        )
        return 'quarantined'

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
        return offers.build_call(
            self._request,
            call_id=channel.call_id,
            fingerprint=self._fingerprint,
            reports=self._choices.crash_reports,
            resume_index=self._resume_index,
            delivered=self._assembly.delivered,
            now_s=self._clock(),
        )
