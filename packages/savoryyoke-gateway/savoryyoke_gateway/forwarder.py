"""Serve a caller's request: admit it, place it, send it and answer."""

import itertools

import anyio

from savoryyoke.forwarding import conf as forwarding_conf
from savoryyoke.forwarding import decisions
from savoryyoke.forwarding import events
from savoryyoke.forwarding import ledger as forwarding_ledger
from savoryyoke.placement import decisions as placement_decisions
from savoryyoke.placement import events as placement_events
from savoryyoke.placement import lateness
from savoryyoke.placement import retry_times
from savoryyoke.quarantine import fingerprints
from savoryyoke.scarcity import work

from savoryyoke_gateway import calls
from savoryyoke_gateway import conf
from savoryyoke_gateway import hedging
from savoryyoke_gateway import reporting
from savoryyoke_gateway import tries


_OUTCOMES_BY_CLASS = {
    decisions.Deliver: 'answered',
    decisions.FinishStream: 'streamed',
    decisions.Refuse: 'refused',
    decisions.Fail: 'failed',
    decisions.AbortStream: 'broken-off',
}


class Forwarder:
    """Forward requests to targets and answers to callers.

    ``random_fraction`` is a function that returns a random number from 0
    to 1, ``clock`` a function that returns the monotonic time in seconds.
    ``buffers`` is the ``BufferAccount`` of the process.
    """

    def __init__(
        self,
        *,
        published_state,
        dispatching,
        allowances,
        translator,
        metrics,
        crashes,
        suspects,
        stopping,
        buffers,
        random_fraction,
        clock,
    ):
        self._stopping = stopping
        self._published_state = published_state
        self._dispatching = dispatching
        self._allowances = allowances
        self._suspects = suspects
        self._metrics = metrics
        self._translator = translator
        self._random_fraction = random_fraction
        self._clock = clock
        self._started_s = clock()
        self._reporter = reporting.CallReporter(
            published_state=published_state,
            dispatching=dispatching,
            metrics=metrics,
            clock=clock,
        )
        self._buffers = buffers
        self._tries = hedging.HedgedTries(
            tries=tries.TryRunner(
                published_state=published_state,
                dispatching=dispatching,
                translator=translator,
                reporter=self._reporter,
                place_retry=self._place_retry,
                place_move=self._place_move,
                crashes=crashes,
                suspects=suspects,
                buffers=self._buffers,
                clock=clock,
            ),
            place_hedge=self._place_hedge,
            clock=clock,
        )
        self._spent_times = lateness.SpentTimeEstimator()
        self._works = work.WorkEstimator()
        self._placement_numbers = itertools.count(1)

    def buffered_bytes(self):
        """Return the size of all answers that are buffered."""
        return self._buffers.total_bytes

    async def serve(self, request, body, channel, *, arrived_s):
        """Answer a request whose body has been read completely.

        ``arrived_s`` is the time on the clock at which the request arrived.
        """
        catalogue = self._published_state.catalogue
        if catalogue is None:
            await self._reject(request, channel, 503, 'no-configuration')
            return
        route = catalogue.find_route(host=request.host, path=request.path)
        if route is None:
            await self._reject(request, channel, 404, 'no-route')
            return
        team = catalogue.find_team(key=request.key)
        needs_key = catalogue.teams_by_key is not None and not route.is_public
        if needs_key and team is None:
            await self._reject(request, channel, 401, 'unknown-key')
            return
        call = self._build_call(
            request,
            body,
            channel,
            route=route,
            team=team if needs_key else None,
            arrived_s=arrived_s,
        )
        try:
            await self._serve_until_deadline(call)
        finally:
            for buffer in call.buffers:
                buffer.release()
            self._reporter.report_request_end(
                call,
                retry_level=self._allowances.filled_share(call.service_name),
            )

    async def refuse(self, request, channel, *, reason):
        """Answer a request with status 503 without placing it."""
        await self._reject(request, channel, 503, reason)

    async def _reject(self, request, channel, status, reason):
        """Answer without sending the request to any target."""
        self._reporter.report_rejection(request, status=status, reason=reason)
        headers = ()
        if status == 503:
            headers = self._build_refusal_headers(request.time_left_s or 0.0)
        await channel.answer(status=status, headers=headers)

    def _build_call(self, request, body, channel, *, route, team, arrived_s):
        time_left_s = route.timeout_s
        if request.time_left_s is not None:
            time_left_s = min(time_left_s, request.time_left_s)
        service_name = self._choose_service(route)
        return calls.Call(
            request=request,
            body=body,
            channel=channel,
            route=route,
            team=team,
            service_name=service_name,
            content_digest=fingerprints.compute_content_digest(
                service=service_name,
                caller=team.name if team else '',
                method=request.method,
                target=request.target,
                body=body,
            ),
            prompt_part_digests=fingerprints.compute_prompt_part_digests(
                service=service_name, part_ids=request.shared_prompt_parts
            ),
            ledger=forwarding_ledger.RequestLedger(
                may_repeat=route.may_repeat,
                attempts_limit=route.attempts_limit,
            ),
            arrived_s=arrived_s,
            deadline_s=arrived_s + time_left_s,
            placement_id=str(next(self._placement_numbers)),
        )

    def _choose_service(self, route):
        """Return a service of the route, chosen at random by weight."""
        total_weight = sum(
            destination.weight for destination in route.destinations
        )
        point = self._random_fraction() * total_weight
        for destination in route.destinations:
            point -= destination.weight
            if point < 0:
                return destination.service_name
        return route.destinations[-1].service_name

    async def _serve_until_deadline(self, call):
        limit_s = call.deadline_s + conf.DEADLINE_GRACE_S - self._clock()
        with (
            anyio.move_on_after(max(limit_s, 0)) as scope,
            self._stopping.cancel_at_end(scope),
        ):
            decision = await self._forward(call)
        if scope.cancelled_caught:
            reason = 'stopping' if self._stopping.has_ended else 'timeout'
            decision = call.ledger.apply(events.TimeRanOut(reason=reason))
        await self._answer_caller(call, decision)

    async def _forward(self, call):
        """Place the request and return the final decision on it."""
        withhold = await self._wait_for_crash_reports(call)
        if self._is_quarantined(call, withhold):
            return decisions.Refuse(reason=call.reason)
        placement = await self._place(call)
        if isinstance(placement, placement_decisions.Refuse):
            call.reason = placement.reason.value
            call.retry_after_s = placement.retry_after_s
            call.urgency_level = placement.level
            call.limit_share = placement.limit_share
            return decisions.Refuse(reason=placement.reason.value)
        self._allowances.record_request(call.service_name)
        resume_after = call.request.resume_after
        while True:
            # Crash reports of other entries may have arrived since the
            # placement.
            withhold = self._suspects.find_withheld(call)
            if self._is_quarantined(
                call, withhold, release=placement.target.release
            ):
                self._dispatching.withdraw_placement(
                    call.service_name, placement
                )
                return call.ledger.apply(
                    events.NoOtherTarget(reason=call.reason)
                )
            decision = await self._tries.run(call, placement, resume_after)
            if isinstance(decision, calls.Move):
                placement, decision = decision.placement, decision.decision
            elif isinstance(decision, decisions.TryAnother):
                await self._wait_for_crash_reports(call)
                placement = self._place_retry(call, decision)
            else:
                return decision
            if placement is None:
                return call.ledger.apply(
                    events.NoOtherTarget(reason=call.reason)
                )
            # A silent stream may have delivered events while it was moved.
            resume_after = (
                call.ledger.last_event_id or call.request.resume_after
            )

    async def _wait_for_crash_reports(self, call):
        """Wait while reports may show that the request crashes no target.

        Return the ``Withhold`` decision on the request, or None.
        """
        withhold = self._suspects.find_withheld(call)
        if withhold is None or not withhold.incomplete_s:
            return withhold
        began_s = self._clock()
        pattern = withhold.pattern
        with anyio.move_on_after(conf.CRASH_REPORTS_WAIT_S) as scope:
            while withhold is not None and withhold.incomplete_s:
                await anyio.sleep(withhold.incomplete_s)
                withhold = self._suspects.find_withheld(call)
        if scope.cancelled_caught:
            withhold = self._suspects.find_withheld(call)
        self._reporter.report_wait_for_reports(
            call,
            pattern,
            waited_s=self._clock() - began_s,
            is_withheld=withhold is not None,
        )
        return withhold

    def _is_quarantined(self, call, withhold, *, release=None):
        """Return whether the request must not be sent to ``release``.

        If ``release`` is None, return whether it must not be sent to any
        release that its service runs.
        """
        if withhold is None:
            call.withheld_releases = call.withheld_pattern = frozenset()
            return False
        call.withheld_releases = withhold.releases
        call.withheld_pattern = withhold.pattern
        target_releases = {release}
        if release is None:
            target_releases = self._dispatching.releases(call.service_name)
        if not (
            withhold.includes_other_releases
            or target_releases <= withhold.releases
        ):
            return False
        call.reason = 'quarantined'
        call.retry_after_s = withhold.retry_after_s
        self._metrics.count_withheld(service=call.service_name)
        return True

    async def _place(self, call):
        now_s = self._clock()
        spent_s = self._spent_times.record(
            call.route.name, time_left_s=call.request.time_left_s
        )
        is_on_time = spent_s < call.route.objective_s
        arrival = placement_events.RequestArrived(
            request_id=call.placement_id,
            is_on_time=is_on_time,
            priority=call.priority,
            wait_until_s=self._choose_wait_end_s(call, is_on_time),
            outage_wait_until_s=self._choose_outage_wait_end_s(
                call, is_on_time
            ),
            time_left_s=max(call.deadline_s - now_s, 0.0),
            regions=call.regions,
            withheld_releases=call.withheld_releases,
            route_priority=call.route.priority,
            team=call.team.name if call.team else '',
            team_priority=call.team.priority if call.team else None,
            work=self._works.estimate(call.request.size),
        )
        placement = await self._dispatching.place(call.service_name, arrival)
        call.waited_s = self._clock() - now_s
        return placement

    def _choose_outage_wait_end_s(self, call, is_on_time):
        """Return until when a request waits while no target is in service.

        Return None to have it refused at once, because its caller is expected
        to retry. An entry that has just started can't tell which callers have
        spent their tries on VMs that are down, and targets often start with
        it.
        """
        has_just_started = (
            self._clock() - self._started_s <= conf.START_OUTAGE_HOLD_S
        )
        if is_on_time and not has_just_started:
            return None
        if call.is_stream:
            return min(call.arrived_s + conf.OUTAGE_WAIT_S, call.deadline_s)
        return self._choose_wait_end_s(call, is_on_time=False)

    def _choose_wait_end_s(self, call, is_on_time):
        if call.is_stream and not is_on_time:
            wait_s = conf.LATE_WAIT_S
        elif call.is_stream:
            wait_s = call.route.objective_s * conf.STREAM_WAIT_SHARE
        else:
            wait_s = (call.deadline_s - call.arrived_s) * conf.PLAIN_WAIT_SHARE
        return min(call.arrived_s + wait_s, call.deadline_s)

    def _place_retry(self, call, decision):
        """Return the placement of a further try, or None if there is none.

        If there is none, ``call.reason`` states why.
        """
        time_left_s = call.deadline_s - self._clock()
        obstacle = self._find_obstacle(call, decision, time_left_s)
        if obstacle is not None:
            call.reason = obstacle
            return None
        placement = self._request_retry_placement(call, decision, time_left_s)
        if isinstance(placement, placement_decisions.Refuse):
            call.reason = placement.reason.value
            return None
        # A repeated try counts towards the retry limit only once it is
        # placed.
        if decision.is_repeat:
            self._allowances.withdraw(call.service_name)
        return placement

    def _find_obstacle(self, call, decision, time_left_s):
        """Return why a further try is not allowed, or None if it is."""
        if time_left_s < forwarding_conf.SHORTEST_TRY_S:
            return 'no-time'
        withhold = self._suspects.find_withheld(call)
        if self._is_quarantined(call, withhold):
            return call.reason
        if decision.is_repeat and not self._allowances.has_token(
            call.service_name
        ):
            return 'retry-limit'
        return None

    async def _place_move(self, call, decision):
        """Return the placement of a stream that leaves its target, or None.

        Wait for a free target for ``MOVE_WAIT_S`` at most.
        """
        now_s = self._clock()
        time_left_s = call.deadline_s - now_s
        if self._find_obstacle(call, decision, time_left_s) is not None:
            return None
        placement = await self._dispatching.place(
            call.service_name,
            placement_events.MoveRequested(
                request_id=call.placement_id,
                tried_target_ids=decision.tried_target_ids,
                wait_until_s=now_s + min(conf.MOVE_WAIT_S, time_left_s),
                time_left_s=time_left_s,
                regions=call.regions,
                withheld_releases=call.withheld_releases,
            ),
        )
        if isinstance(placement, placement_decisions.Refuse):
            return None
        # The last token may have been withdrawn during the wait.
        if not self._allowances.withdraw(call.service_name):
            self._dispatching.withdraw_placement(call.service_name, placement)
            return None
        return placement

    def _place_hedge(self, call, decision, *, is_lost):
        """Return the placement of a concurrent second try, or None."""
        time_left_s = call.deadline_s - self._clock()
        if time_left_s < forwarding_conf.SHORTEST_TRY_S:
            return None
        if self._suspects.find_withheld(call) is not None:
            return None
        if not self._allowances.has_hedge_token(
            call.service_name, is_lost=is_lost
        ):
            return None
        placement = self._request_retry_placement(call, decision, time_left_s)
        if isinstance(placement, placement_decisions.Refuse):
            return None
        self._allowances.withdraw_hedge(call.service_name, is_lost=is_lost)
        self._metrics.count_hedge(service=call.service_name)
        return placement

    def _request_retry_placement(self, call, decision, time_left_s):
        """Return the decision on the placement of a further try."""
        return self._dispatching.place_retry(
            call.service_name,
            placement_events.RetryRequested(
                request_id=call.placement_id,
                tried_target_ids=decision.tried_target_ids,
                time_left_s=time_left_s,
                regions=call.regions,
                withheld_releases=call.withheld_releases,
            ),
        )

    async def _answer_caller(self, call, decision):
        """Send the caller the final answer and record it in ``call``."""
        call.outcome = _OUTCOMES_BY_CLASS[type(decision)]
        call.reason = getattr(decision, 'reason', '') or call.reason
        match decision:
            case decisions.Deliver():
                call.status = call.answer.status
                await call.channel.answer(
                    status=call.answer.status,
                    headers=call.answer.headers,
                    body=call.answer.body,
                )
            case decisions.FinishStream():
                await call.channel.finish()
            case decisions.Refuse():
                call.status = 503
                await call.channel.answer(
                    status=503, headers=self._build_call_refusal_headers(call)
                )
            case decisions.Fail():
                call.status = 504 if decision.timed_out else 502
                await call.channel.answer(status=call.status)
            case decisions.AbortStream():
                pass

    def _build_call_refusal_headers(self, call):
        """Return the headers of a refusal.

        Use the retry time of the decision if it has one.
        """
        if call.retry_after_s is not None:
            return self._translator.write_refusal(
                retry_after_s=call.retry_after_s
            )
        time_left_s = call.request.time_left_s or call.route.timeout_s
        return self._translator.write_refusal(
            retry_after_s=self._dispatching.choose_retry_after_s(
                call.service_name,
                time_left_s=time_left_s - (self._clock() - call.arrived_s),
                regions=call.regions,
                withheld_releases=call.withheld_releases,
            )
        )

    def _build_refusal_headers(self, time_left_s):
        return self._translator.write_refusal(
            retry_after_s=retry_times.choose_retry_after_s(
                time_left_s=time_left_s, random_fraction=self._random_fraction
            )
        )
