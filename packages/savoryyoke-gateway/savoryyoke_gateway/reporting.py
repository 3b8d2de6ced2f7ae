"""Log and count the progress of requests."""

from savoryyoke.placement import models as placement_models

from savoryyoke_edge import logs


class CallReporter:
    """Write the log lines and metrics of one entry's requests."""

    def __init__(self, *, published_state, dispatching, metrics, clock):
        self._published_state = published_state
        self._dispatching = dispatching
        self._metrics = metrics
        self._clock = clock

    def report_rejection(self, request, *, status, reason):
        """Report a request that was answered without any target."""
        stamp = self._published_state.stamp()
        logs.write_event(
            'request_turned_away',
            request=request.request_id,
            status=status,
            reason=reason,
            host=request.host,
            path=request.path,
            as_of=stamp.as_of,
            view_age_s=stamp.age_s,
        )
        self._metrics.count_request(
            service='none', outcome=reason, duration_s=0.0
        )

    def report_wait_for_reports(self, call, pattern, *, waited_s, is_withheld):
        """Report a request that waited for crash reports on a pattern."""
        logs.write_event(
            'crash_reports_awaited',
            request=call.request.request_id,
            pattern=logs.join_digests(pattern),
            waited_s=round(waited_s, 3),
            withheld=is_withheld,
        )

    def report_placement(self, call, placement):
        """Report the choice of a target."""
        stamp = self._published_state.stamp()
        logs.write_event(
            'target_chosen',
            request=call.request.request_id,
            route=call.route.name,
            service=call.service_name,
            target=placement.target.target_id,
            in_flight=placement.in_flight,
            rate_limit_per_s=self._dispatching.rate_limit_per_s(
                call.service_name, placement.target
            ),
            queued=self._dispatching.queue_length(),
            waited_s=call.waited_s,
            as_of=stamp.as_of,
            view_age_s=stamp.age_s,
        )

    def report_try_end(self, call, target, attempt):
        """Report the end of a try; answered ones are only counted."""
        self._metrics.count_try(
            service=call.service_name,
            result=attempt.result.value,
            first_byte_s=attempt.first_byte_s,
        )
        if attempt.result is placement_models.TryResult.ANSWERED:
            return
        logs.write_event(
            'try_ended',
            request=call.request.request_id,
            target=target.target_id,
            result=attempt.result.value,
            reason=attempt.reason,
            at_fault=attempt.at_fault_target_id or '',
            content=call.content_digest.hex(),
            prompt_parts=logs.join_digests(call.prompt_part_digests),
            after_s=self._clock() - attempt.started_s,
            first_byte_s=attempt.first_byte_s,
        )

    def report_request_end(self, call, *, retry_level):
        """Report the end of a request.

        ``retry_level`` is the unspent part of this entry's share of the
        retry limit, from 0.0 to 1.0.
        """
        duration_s = self._clock() - call.arrived_s
        logs.write_event(
            'request_ended',
            request=call.request.request_id,
            route=call.route.name,
            service=call.service_name,
            team=call.team.name if call.team else '',
            content=call.content_digest.hex(),
            prompt_parts=logs.join_digests(call.prompt_part_digests),
            outcome=call.outcome,
            reason=call.reason,
            withheld_pattern=logs.join_digests(call.withheld_pattern),
            first_cause=call.first_failure_reason,
            retry_level=retry_level,
            priority=call.priority,
            urgency_level=call.urgency_level,
            limit_share=call.limit_share,
            status=call.status,
            targets=','.join(call.target_ids),
            events=call.events_sent,
            waited_s=call.waited_s,
            took_s=duration_s,
            time_left_s=call.request.time_left_s,
            configuration=self._published_state.catalogue.version,
        )
        self._metrics.count_request(
            service=call.service_name,
            outcome=call.outcome,
            duration_s=duration_s,
        )
