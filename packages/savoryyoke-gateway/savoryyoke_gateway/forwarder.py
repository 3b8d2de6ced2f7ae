"""Serve one caller's request: admit, place, have it tried, answer."""

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
    """Carry requests to targets and answers back to callers."""

    def __init__(
        self,
        *,
        knowledge,
        dispatching,
        allowances,
        translator,
        metrics,
        crashes,
        suspects,
        draw,
        clock,
    ):
        self._knowledge = knowledge
        self._dispatching = dispatching
        self._allowances = allowances
        self._suspects = suspects
        self._metrics = metrics
        self._translator = translator
        self._draw = draw
        self._clock = clock
        self._reporter = reporting.CallReporter(
            knowledge=knowledge,
            dispatching=dispatching,
            metrics=metrics,
            clock=clock,
        )
        self._tries = hedging.HedgedTries(
            tries=tries.TryRunner(
                dispatching=dispatching,
                translator=translator,
                reporter=self._reporter,
                place_again=self._place_again,
                crashes=crashes,
                suspects=suspects,
                clock=clock,
            ),
            find_hedge=self._find_hedge,
            clock=clock,
        )
        self._patience = lateness.SpentTimeEstimator()
        self._placement_numbers = itertools.count(1)

    async def serve(self, request, body, channel, *, arrived_s):
        """Answer one request that has been read whole."""
        catalogue = self._knowledge.catalogue
        if catalogue is None:
            await self._turn_away(request, channel, 503, 'no-configuration')
            return
        route = catalogue.find_route(host=request.host, path=request.path)
        if route is None:
            await self._turn_away(request, channel, 404, 'no-route')
            return
        team = catalogue.find_team(key=request.key)
        needs_key = catalogue.teams_by_key is not None and not route.is_public
        if needs_key and team is None:
            await self._turn_away(request, channel, 401, 'unknown-key')
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
            await self._serve_in_time(call)
        finally:
            self._reporter.note_end(
                call, retry_level=self._allowances.level(call.service_name)
            )

    async def refuse(self, request, channel, *, reason):
        """Refuse a request that this entry does not take."""
        await self._turn_away(request, channel, 503, reason)

    async def _turn_away(self, request, channel, status, reason):
        """Answer without trying any target."""
        self._reporter.note_turned_away(request, status=status, reason=reason)
        headers = ()
        if status == 503:
            headers = self._write_refusal(request.time_left_s or 0.0)
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
            content=fingerprints.compute_content_digest(
                service=service_name,
                caller=team.name if team else '',
                method=request.method,
                target=request.target,
                body=body,
            ),
            ledger=forwarding_ledger.RequestLedger(
                may_repeat=route.may_repeat,
                attempts_limit=route.attempts_limit,
            ),
            arrived_s=arrived_s,
            ends_s=arrived_s + time_left_s,
            placement_id=str(next(self._placement_numbers)),
        )

    def _choose_service(self, route):
        """Return one of the route's services, drawn by weight."""
        total = sum(x.weight for x in route.destinations)
        point = self._draw() * total
        for destination in route.destinations:
            point -= destination.weight
            if point < 0:
                return destination.service_name
        return route.destinations[-1].service_name

    async def _serve_in_time(self, call):
        limit_s = call.ends_s + conf.DEADLINE_GRACE_S - self._clock()
        with anyio.move_on_after(max(limit_s, 0)) as scope:
            decision = await self._forward(call)
        if scope.cancelled_caught:
            decision = call.ledger.apply(events.TimeRanOut())
        await self._conclude(call, decision)

    async def _forward(self, call):
        """Place the request and return the final decision on it."""
        if self._is_quarantined(call):
            return decisions.Refuse(reason=call.reason)
        placed = await self._place(call)
        if isinstance(placed, placement_decisions.Refuse):
            call.reason = placed.reason.value
            call.retry_after_s = placed.retry_after_s
            return decisions.Refuse(reason=placed.reason.value)
        self._allowances.note_request(call.service_name)
        resume_after = call.request.resume_after
        while True:
            # What other entries have seen may have come since the placement.
            if self._is_quarantined(call, release=placed.target.release):
                self._dispatching.give_back(call.service_name, placed)
                return call.ledger.apply(
                    events.NoOtherTarget(reason=call.reason)
                )
            decision = await self._tries.run(call, placed, resume_after)
            if isinstance(decision, calls.Move):
                placed, decision = decision.placed, decision.decision
            elif isinstance(decision, decisions.TryAnother):
                placed = self._place_again(call, decision)
            else:
                return decision
            if placed is None:
                return call.ledger.apply(
                    events.NoOtherTarget(reason=call.reason)
                )
            # A silent stream may have gone on while it was moved.
            resume_after = (
                call.ledger.last_event_id or call.request.resume_after
            )

    def _is_quarantined(self, call, *, release=None):
        """Return whether the request must not go to a release of its service.

        Without ``release``, all that its service runs are meant.
        """
        withhold = self._suspects.find_withheld(call)
        if withhold is None:
            call.withheld_releases = frozenset()
            return False
        call.withheld_releases = withhold.releases
        wanted = {release}
        if release is None:
            wanted = self._dispatching.releases(call.service_name)
        if not (
            withhold.includes_other_releases or wanted <= withhold.releases
        ):
            return False
        call.reason = 'quarantined'
        call.retry_after_s = withhold.retry_after_s
        self._metrics.count_withheld(service=call.service_name)
        return True

    async def _place(self, call):
        now_s = self._clock()
        spent_s = self._patience.record(
            call.route.name, time_left_s=call.request.time_left_s
        )
        is_on_time = spent_s < call.route.objective_s
        arrival = placement_events.RequestArrived(
            request_id=call.placement_id,
            is_on_time=is_on_time,
            priority=self._rank(call),
            wait_until_s=self._choose_wait_end_s(call, is_on_time),
            time_left_s=max(call.ends_s - now_s, 0.0),
            regions=call.regions,
            withheld_releases=call.withheld_releases,
        )
        placed = await self._dispatching.place(call.service_name, arrival)
        call.waited_s = self._clock() - now_s
        return placed

    def _choose_wait_end_s(self, call, is_on_time):
        if call.is_stream and not is_on_time:
            wait_s = conf.LATE_WAIT_S
        elif call.is_stream:
            wait_s = call.route.objective_s * conf.WAIT_SHARE
        else:
            wait_s = (call.ends_s - call.arrived_s) * conf.PLAIN_WAIT_SHARE
        return min(call.arrived_s + wait_s, call.ends_s)

    @staticmethod
    def _rank(call):
        if call.team is not None and call.team.priority is not None:
            return call.team.priority
        return call.route.priority

    def _place_again(self, call, decision):
        """Return the placement of a repetition, or None if there is none."""
        time_left_s = call.ends_s - self._clock()
        if time_left_s < forwarding_conf.SHORTEST_TRY_S:
            call.reason = 'no-time'
            return None
        if self._is_quarantined(call):
            return None
        if decision.is_repeat and not self._allowances.covers_one(
            call.service_name
        ):
            call.reason = 'retry-limit'
            return None
        placed = self._find_other(call, decision, time_left_s)
        if isinstance(placed, placement_decisions.Refuse):
            call.reason = placed.reason.value
            return None
        # The limit is drawn on only for a repetition that has a place.
        if decision.is_repeat:
            self._allowances.take(call.service_name)
        return placed

    def _find_hedge(self, call, decision, *, is_lost):
        """Return the placement of a second try beside the first, or None."""
        time_left_s = call.ends_s - self._clock()
        if time_left_s < forwarding_conf.SHORTEST_TRY_S:
            return None
        if self._suspects.find_withheld(call) is not None:
            return None
        if not self._allowances.covers_hedge(
            call.service_name, is_lost=is_lost
        ):
            return None
        placed = self._find_other(call, decision, time_left_s)
        if isinstance(placed, placement_decisions.Refuse):
            return None
        self._allowances.take_hedge(call.service_name, is_lost=is_lost)
        self._metrics.count_hedge(service=call.service_name)
        return placed

    def _find_other(self, call, decision, time_left_s):
        """Return placement's decision on a further try."""
        return self._dispatching.repeat(
            call.service_name,
            placement_events.RetryRequested(
                request_id=call.placement_id,
                tried_target_ids=decision.tried_target_ids,
                time_left_s=time_left_s,
                regions=call.regions,
                withheld_releases=call.withheld_releases,
            ),
        )

    async def _conclude(self, call, decision):
        """Give the caller the final answer."""
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
                    status=503, headers=self._write_call_refusal(call)
                )
            case decisions.Fail():
                call.status = 504 if decision.timed_out else 502
                await call.channel.answer(status=call.status)
            case decisions.AbortStream():
                pass

    def _write_call_refusal(self, call):
        """Return the headers of a refusal, with placement's time if any."""
        if call.retry_after_s is not None:
            return self._translator.write_refusal(
                retry_after_s=call.retry_after_s
            )
        left_s = call.request.time_left_s or call.route.timeout_s
        return self._write_refusal(left_s - (self._clock() - call.arrived_s))

    def _write_refusal(self, time_left_s):
        return self._translator.write_refusal(
            retry_after_s=retry_times.choose_retry_after_s(
                time_left_s=time_left_s, random_fraction=self._draw
            )
        )
