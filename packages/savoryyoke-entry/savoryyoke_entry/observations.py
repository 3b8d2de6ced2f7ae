"""Report the results of attempts to the router and log its choices."""

from savoryyoke.routing import decisions as routing_decisions
from savoryyoke.routing import events as routing_events
from savoryyoke_edge import logs
from savoryyoke_wire import messages

_REFUSAL_REASONS = {
    'draining': routing_events.RefusalReason.LEAVING,
}


class Observation:
    """Report the latency and the outcome of one attempt to the router."""

    def __init__(self, *, service, clock, attempt_id, target_id):
        self._service = service
        self._clock = clock
        self._attempt_id = attempt_id
        self.target_id = target_id
        self._started_s = self._clock()
        self._has_first_chunk = False
        self._outcome = routing_events.Outcome.CANCELLED
        self._refused = False
        self.ended = False

    def __enter__(self):
        return self

    def __exit__(self, error_type, error, traceback):
        if self._refused:
            return
        self._service.feed(
            routing_events.Completed(
                call_id=self._attempt_id,
                outcome=self._outcome,
                latency_s=self._clock() - self._started_s,
            )
        )

    def record_message(self, message):
        """Record one message of the target; None means that the link broke."""
        match message:
            case messages.Chunk() if not self._has_first_chunk:
                self._has_first_chunk = True
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
                self._record_refusal(message)
            case None:
                self.ended = True
                self._outcome = routing_events.Outcome.FAILED

    def _record_refusal(self, refusal):
        self._outcome = routing_events.Outcome.FAILED
        if refusal.outcome != messages.Outcome.NOT_RUN:
            return
        self._refused = True
        self._service.feed(
            routing_events.Refused(
                call_id=self._attempt_id,
                target_id=self.target_id,
                retry_after_s=refusal.retry_after_ms / 1000,
                reason=_REFUSAL_REASONS.get(
                    refusal.reason, routing_events.RefusalReason.OVERLOADED
                ),
            )
        )


def log_choice(call_id, attempt, request, choice):
    """Log the chosen target, the candidates and the reason."""
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
