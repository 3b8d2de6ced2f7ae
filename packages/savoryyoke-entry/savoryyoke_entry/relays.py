"""Relay an idempotent request to targets until it is answered."""

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
from savoryyoke_entry import wait_queues
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
    """Send one idempotent request to targets, with retries.

    ``service`` is the ``fleet.Service`` of the request, ``caller`` the
    ``callers.Caller`` that gets the answer, and ``suspect_requests`` the
    ``suspects.SuspectRequests`` of this entry. ``clock()`` returns monotonic
    seconds.
    """

    def __init__(
        self, *, request, caller, service, suspect_requests, clock, call_id
    ):
        self._request = request
        self._suspect_requests = suspect_requests
        self._fingerprint = suspects.compute_fingerprint(request)
        self._choices = choices.TargetChoices(
            request=request,
            service=service,
            fingerprint=self._fingerprint,
            clock=clock,
            call_id=call_id,
        )
        self._isolation_refused = False
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
        self._body_parts = []
        self._unreturned_bytes = 0
        self._finished = False
        self._is_final_failure = False
        self._not_run = False
        self._try_count = 0
        self._retry_after_s = 0.0
        self._target_id = None
        self._failure_kind = retry_events.Failure.LOST
        self._last_reason = 'no-target'

    async def run(self):
        """Answer the caller; return the name of the outcome."""
        try:
            return await self._run()
        finally:
            caller_left = retry_events.CallerLeft(call_id=self._call_id)
            self._service.feed_retries(caller_left)

    async def _run(self):
        while not self._finished:
            verdict = self._suspect_requests.check_call(
                self._call_id, self._fingerprint
            )
            if self._is_quarantined(verdict):
                return await self._refuse_quarantined()
            choice = await self._choices.choose(verdict, self._attempt)
            if isinstance(choice, routing_decisions.NoTarget):
                if self._may_choose_again(choice):
                    await anyio.sleep(conf.ISOLATION_RETRY_S)
                    continue
                return await self._refuse(choice)
            await self._try_target(choice)
            if await self._wait_for_suspect():
                continue
            give_up_decision = None if self._finished else self._decide_retry()
            if give_up_decision is not None and not self._quarantined:
                return await self._give_up(give_up_decision)
        if self._head.status < conf.SERVER_ERROR_STATUS:
            self._suspect_requests.record_success(self._fingerprint)
        return 'answered'

    def _may_choose_again(self, refusal):
        """Return whether to repeat the choice after ``NoTarget``.

        Once an answer has begun, it can't be refused any more, only
        truncated; waiting for a target avoids that.
        """
        remaining_s = self._request.deadline_s - self._clock()
        return (
            self._caller.answer_started
            and wait_queues.may_find_target(refusal)
            and remaining_s > conf.ISOLATION_RESERVE_S
        )

    def _is_quarantined(self, verdict):
        return self._quarantined or isinstance(
            verdict, quarantine_decisions.RefusePermanently
        )

    async def _wait_for_suspect(self):
        """Wait after a refusal for isolation; return whether to try again.

        The target did not accept the call, so this does not count as a try.
        """
        remaining_s = self._request.deadline_s - self._clock()
        if (
            not self._isolation_refused
            or remaining_s < conf.ISOLATION_RESERVE_S
        ):
            return False
        await anyio.sleep(conf.ISOLATION_RETRY_S)
        return True

    def _record_try(self, target_id):
        self._failure_kind = retry_events.Failure.LOST
        if self._isolation_refused:
            self._isolation_refused = False
            return
        self._target_id = target_id
        if self._try_count:
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
        self._try_count += 1
        self._service.feed_retries(event)

    def _decide_retry(self):
        """Return None to try again, or the ``GiveUp`` decision."""
        self._isolation_refused = False
        failure = self._failure_kind
        if failure is retry_events.Failure.LOST:
            self._may_have_run = True
        if self._is_final_failure:
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
        self._record_try(choice.target_id)
        attempt_id = f'{self._call_id}.{self._attempt}'
        self._choices.exclude(choice.target_id)
        try:
            link = self._service.get_link(choice.target_id)
            channel = link.open_channel()
            link.send(self._build_call(channel))
        except exceptions.LinkDown:
            self._failure_kind = retry_events.Failure.UNREACHABLE
            await self._feed(self._build_attempt_broken('target unreachable'))
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
        is_complete = False
        try:
            with anyio.move_on_at(self._request.deadline_s):
                while attempt == self._attempt and not self._finished:
                    message = await channel.get()
                    observation.record_message(message)
                    if self._handle_isolation_refusal(
                        message, observation.target_id
                    ):
                        break
                    await self._handle_message(message, channel)
                is_complete = True
            if not is_complete:
                self._last_reason = 'deadline'
                self._is_final_failure = True
        finally:
            channel.close(cancel=not observation.ended)

    async def _handle_message(self, message, channel):
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
                self._record_refusal(message)
                event = self._build_attempt_broken(message.reason)
            case _:
                event = self._build_attempt_broken('target lost')
        await self._feed(event)
        if isinstance(message, messages.Chunk):
            self._return_credit(channel, len(message.data))

    def _return_credit(self, channel, size_bytes):
        self._unreturned_bytes += size_bytes
        if self._unreturned_bytes >= conf.CREDIT_RETURN_BYTES:
            channel.grant_credit(self._unreturned_bytes)
            self._unreturned_bytes = 0

    def _handle_isolation_refusal(self, message, target_id):
        """Return whether ``message`` refuses the call for isolation.

        A target refuses while it runs another suspect request, or the same
        one.
        """
        if not isinstance(message, messages.Refusal):
            return False
        self._suspect_requests.record_crash_reports(message.crash_reports)
        if message.reason not in _ISOLATING_REASONS:
            return False
        self._record_refusal(message)
        self._isolation_refused = True
        self._last_reason = message.reason
        self._choices.readmit(
            target_id, is_occupied=message.reason == wire_conf.ISOLATING_REASON
        )
        return True

    def _record_refusal(self, refusal):
        if refusal.reason == wire_conf.QUARANTINED_REASON:
            self._quarantined = True
        self._retry_after_s = refusal.retry_after_ms / 1000
        if refusal.outcome == messages.Outcome.NOT_RUN:
            self._failure_kind = _FAILURES_BY_REASON.get(
                refusal.reason, retry_events.Failure.OVERLOADED
            )

    def _build_attempt_broken(self, reason):
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
        if self._caller.answer_started:
            await self._caller.send_part(decision.data)
        else:
            self._body_parts.append(decision.data)

    @_carry_out.register
    async def _(self, decision: stream_decisions.Finish):
        self._finished = True
        if self._caller.answer_started:
            await self._caller.send_part(callers.DONE_EVENT, last=True)
            return
        headers = [(item.name, item.value) for item in self._head.headers]
        await self._caller.send_complete(
            self._head.status, headers, b''.join(self._body_parts)
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
        self._is_final_failure = True
        self._last_reason = decision.reason

    def _is_event_stream(self, headers):
        content_types = [
            value for name, value in headers if name.lower() == 'content-type'
        ]
        return bool(content_types) and content_types[0].startswith(
            callers.STREAM_TYPE
        )

    async def _refuse(self, choice):
        """Tell the caller at once that there is no target left to try."""
        if self._try_count:
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

    async def _refuse_quarantined(self):
        """Tell the caller that the request is quarantined for good."""
        name = 'not-answered' if self._may_have_run else 'quarantined'
        if self._caller.answer_started:
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

    async def _give_up(self, give_up_decision):
        logs.write_event(
            'call_given_up',
            call=self._call_id,
            reason=give_up_decision.reason.value,
            not_run=give_up_decision.not_run,
            cause=self._last_reason,
        )
        self._not_run = give_up_decision.not_run
        return await self._send_refusal(
            self._last_reason, give_up_decision.retry_after_s
        )

    async def _send_refusal(self, reason, retry_after_s):
        name = 'not-run' if self._not_run else 'not-answered'
        if self._caller.answer_started:
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
