"""Carry out one try of a request at one target."""

import anyio

from savoryyoke.forwarding import decisions
from savoryyoke.forwarding import events
from savoryyoke.forwarding import exceptions as forwarding_exceptions
from savoryyoke.forwarding import framing
from savoryyoke.placement import events as placement_events
from savoryyoke.placement import models as placement_models

from savoryyoke_gateway import calls
from savoryyoke_gateway import conf
from savoryyoke_gateway import exceptions
from savoryyoke_gateway import exchanges
from savoryyoke_gateway import requests

_Result = placement_models.TryResult


class TryRunner:
    """Send requests to targets and judge what comes back.

    ``place_again(call, decision)`` returns a further placement, or None.
    """

    def __init__(
        self,
        *,
        dispatching,
        translator,
        reporter,
        place_again,
        crashes,
        suspects,
        clock,
    ):
        self._dispatching = dispatching
        self._translator = translator
        self._reporter = reporter
        self._place_again = place_again
        self._crashes = crashes
        self._suspects = suspects
        self._clock = clock

    async def run(self, call, placed, resume_after):
        """Send the request to a target and return what follows.

        That is a decision of the ledger, or a ``calls.Move``.
        """
        target = placed.target
        call.target_ids.append(target.target_id)
        self._reporter.note_placement(call, placed)
        exchange = exchanges.Exchange(target=target)
        attempt = calls.Attempt(started_s=self._clock())
        try:
            if call.is_stream and call.route.may_repeat:
                return await self._exchange_watched(
                    call, target, exchange, attempt, resume_after
                )
            return await self._exchange(
                call, target, exchange, attempt, resume_after
            )
        finally:
            await exchange.aclose()
            self._end_try(call, target, attempt)

    async def _exchange_watched(
        self, call, target, exchange, attempt, resume_after
    ):
        """Carry out a try that ends where a silent stream moves on."""
        decision = None
        async with anyio.create_task_group() as group:
            group.start_soon(
                self._watch_silence, call, target, attempt, group.cancel_scope
            )
            decision = await self._exchange(
                call, target, exchange, attempt, resume_after
            )
            group.cancel_scope.cancel()
        if decision is not None and attempt.move is not None:
            # It went on in the same moment.
            self._dispatching.give_back(call.service_name, attempt.move.placed)
        return decision or attempt.move

    async def _watch_silence(self, call, target, attempt, scope):
        """Move a stream that says nothing as soon as there is a place.

        It goes on where it is as long as there is none.
        """
        move = None
        while move is None:
            advanced_s = attempt.advanced_s or attempt.started_s
            left_s = advanced_s + conf.STREAM_SILENCE_S - self._clock()
            await anyio.sleep(max(left_s, conf.SILENCE_CHECK_S))
            if not attempt.is_waiting or attempt.advanced_s > advanced_s:
                continue
            move = self._find_move(call)
        attempt.result = _Result.TIMED_OUT
        attempt.reason = 'silent'
        attempt.move = move
        call.ledger.apply(
            events.TryBroken(target_id=target.target_id, reason='silent')
        )
        scope.cancel()
        self._crashes.note_silent(call, target)

    async def _exchange(self, call, target, exchange, attempt, resume_after):
        target_id = target.target_id
        try:
            await exchange.connect()
        except exceptions.TargetUnreachable as error:
            attempt.result = _Result.UNREACHABLE
            if error.is_refused:
                self._crashes.note_refused(target)
            return call.ledger.apply(events.Unreachable(target_id=target_id))
        try:
            head = await self._send(
                call, target, exchange, attempt, resume_after
            )
            self._dispatching.note_head(call.service_name, target, head)
            if head.is_refusal or head.is_misdirected:
                attempt.result = _choose_refusal(head)
                return call.ledger.apply(
                    events.TargetRefused(target_id=target_id)
                )
            self._require_usable(call, head)
            if call.is_stream and head.is_success:
                return await self._relay_stream(
                    call, target, exchange, attempt, head, resume_after
                )
            return await self._take_answer(
                call, target, exchange, attempt, head
            )
        except exceptions.ExchangeBroken as error:
            attempt.result = (
                _Result.TIMED_OUT
                if error.reason == 'silent'
                else _Result.BROKEN
            )
            attempt.reason = error.reason
            await self._crashes.examine(call, target, reason=error.reason)
            return call.ledger.apply(
                events.TryBroken(target_id=target_id, reason=error.reason)
            )

    async def _send(self, call, target, exchange, attempt, resume_after):
        """Send the request and return the head of its answer."""
        time_left_s = max(call.ends_s - self._clock(), 0.001)
        headers = self._translator.write_try(
            call.request,
            requests.TryTerms(
                team_name=call.team.name if call.team else None,
                target_id=target.target_id,
                time_left_s=time_left_s,
                resume_after=resume_after,
            ),
        )
        call.ledger.apply(events.Sent(target_id=target.target_id))
        attempt.sent_s = attempt.advanced_s = self._clock()
        attempt.is_waiting = True
        status, answer_headers = await exchange.send(
            method=call.request.method,
            target=call.request.target,
            headers=headers,
            body=call.body,
            silence_s=time_left_s + conf.DEADLINE_GRACE_S,
        )
        attempt.head_s = self._clock()
        return self._translator.read_head(
            status, answer_headers, request=call.request
        )

    @staticmethod
    def _require_usable(call, head):
        """Raise ``ExchangeBroken`` for an answer that must not be used."""
        if head.fault is not None:
            raise exceptions.ExchangeBroken(head.fault)
        promises_too_much = head.status in requests.NOT_RUN_STATUSES
        if promises_too_much and not call.route.may_repeat:
            raise exceptions.ExchangeBroken('unproven-refusal')

    async def _take_answer(self, call, target, exchange, attempt, head):
        """Read a whole answer before any of it goes to the caller."""
        body = bytearray()
        async for part in exchange.read():
            body += part
            if len(body) > conf.ANSWER_LIMIT_BYTES:
                raise exceptions.ExchangeBroken('too-large')
        answer = requests.Answer(
            status=head.status, headers=head.headers, body=bytes(body)
        )
        attempt.result = (
            _Result.FAILED if answer.is_failure else _Result.ANSWERED
        )
        # Of two tries side by side, the first good answer counts.
        if call.answer is None or call.answer.is_failure:
            call.answer = answer
        return call.ledger.apply(
            events.TargetAnswered(
                target_id=target.target_id, is_failure=answer.is_failure
            )
        )

    async def _relay_stream(
        self, call, target, exchange, attempt, head, resume_after
    ):
        """Pass whole events on as they come; return what follows the end."""
        splitter = framing.EventSplitter(last_event_id=resume_after)
        async for part in exchange.read():
            whole = _split(splitter, part)
            if not whole:
                continue
            attempt.is_waiting = False
            await self._pass_on(call, target, head, whole)
            attempt.advanced_s = self._clock()
            attempt.is_waiting = True
            move = self._choose_move(call, target, attempt)
            if move is not None:
                return move
        attempt.is_waiting = False
        if splitter.has_partial_event:
            raise exceptions.ExchangeBroken('torn')
        await self._begin_stream(call, target, head)
        attempt.result = _Result.ANSWERED
        return call.ledger.apply(events.StreamEnded())

    def _choose_move(self, call, target, attempt):
        """Return the move of a stream whose target holds its group up.

        The new place is taken before the old one is left: a stream that
        finds no other place goes on where it is.
        """
        if attempt.stays or not self._dispatching.holds_group_up(
            call.service_name, target.target_id
        ):
            return None
        attempt.stays = True
        move = self._find_move(call)
        if move is not None:
            attempt.reason = 'slow-target'
        return move

    def _find_move(self, call):
        """Return a further placement of a stream under way, or None."""
        decision = call.ledger.apply(events.TargetSlow())
        if decision is None:
            return None
        placed = self._place_again(call, decision)
        if placed is None:
            return None
        return calls.Move(placed=placed, decision=decision)

    async def _pass_on(self, call, target, head, whole):
        await self._begin_stream(call, target, head)
        await call.channel.write(b''.join(x.data for x in whole))
        call.events_sent += len(whole)
        call.ledger.apply(events.StreamAdvanced(event_id=whole[-1].event_id))

    async def _begin_stream(self, call, target, head):
        """Send the head with the first event: until then another can try."""
        decision = call.ledger.apply(
            events.StreamStarted(target_id=target.target_id)
        )
        if isinstance(decision, decisions.BeginStream):
            call.status = head.status
            await call.channel.begin(status=head.status, headers=head.headers)

    def _end_try(self, call, target, attempt):
        service_time_s = None
        if attempt.result is _Result.ANSWERED:
            service_time_s = self._clock() - attempt.started_s
            self._suspects.note_answered(call, target)
        elif attempt.result is _Result.WITHDRAWN:
            if attempt.sent_s is not None:
                self._crashes.note_given_up(call, target)
            self._judge_withdrawn(call, attempt)
        self._dispatching.end_try(
            call.service_name,
            placement_events.TryEnded(
                target_id=target.target_id,
                incarnation=target.incarnation,
                result=attempt.result,
                latency_s=attempt.first_byte_s,
                service_time_s=service_time_s,
            ),
        )
        if attempt.result is not _Result.ANSWERED and not call.first_cause:
            call.first_cause = attempt.reason or attempt.result.value
        self._reporter.note_try(call, target, attempt)

    def _judge_withdrawn(self, call, attempt):
        """Tell a target that did not answer in time from a caller's leave."""
        now_s = self._clock()
        if attempt.sent_s is not None and now_s >= call.ends_s:
            attempt.result = _Result.TIMED_OUT
            attempt.reason = 'deadline'
        elif (
            attempt.head_s is not None
            and not call.is_stream
            and now_s - attempt.head_s > conf.BODY_STALL_S
        ):
            attempt.result = _Result.TIMED_OUT
            attempt.reason = 'stalled'


def _choose_refusal(head):
    """Return the result of a try that the target did not run."""
    if head.is_misdirected:
        return _Result.MISDIRECTED
    if head.pause_s is not None:
        return _Result.PAUSED
    return _Result.REFUSED


def _split(splitter, part):
    """Return the events that ``part`` completes; raise ``ExchangeBroken``."""
    try:
        return splitter.feed(part)
    except forwarding_exceptions.MalformedStream as error:
        raise exceptions.ExchangeBroken('malformed') from error
