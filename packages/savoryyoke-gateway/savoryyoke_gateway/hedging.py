"""Start a second try while the first one is slow; use the first answer."""

import itertools

import anyio

from savoryyoke.forwarding import decisions
from savoryyoke.forwarding import events
from savoryyoke.retries import conf as retries_conf
from savoryyoke.retries import hedging

from savoryyoke_edge import logs


class _Race:
    """Collect the results of the concurrent tries of one request.

    A result is a pair of the ledger's decision and the target.
    """

    def __init__(self):
        self.results = []
        self._result_added = anyio.Event()

    @property
    def delivered_result(self):
        """Return the result with an answer to deliver, or None."""
        for result in self.results:
            if isinstance(result[0], decisions.Deliver):
                return result
        return None

    def add_result(self, decision, target):
        """Add the result of a try that has ended."""
        self.results.append((decision, target))
        self._result_added.set()

    async def wait(self):
        """Return once a further try has ended."""
        await self._result_added.wait()
        self._result_added = anyio.Event()


class HedgedTries:
    """Carry out tries, and a concurrent second try of slow requests.

    A try is cancelled only once the other one has answered.
    ``place_hedge(call, decision, is_lost=...)`` returns a further placement,
    or None; ``is_lost`` is true if the first try is considered lost.
    """

    def __init__(self, *, tries, place_hedge, clock):
        self._tries = tries
        self._place_hedge = place_hedge
        self._clock = clock
        self._timing = hedging.HedgeTiming()

    async def run(self, call, placement, resume_after):
        """Return how to continue, as ``TryRunner.run`` does."""
        if call.is_stream or not call.route.may_repeat:
            return await self._tries.run(call, placement, resume_after)
        key = _build_key(call)
        start_s = self._clock()
        try_number = self._timing.record_sent(
            key, placement.target.target_id, sent_s=start_s
        )
        try:
            decision, target = await self._race(
                call, placement, resume_after, start_s
            )
        finally:
            self._timing.record_end(key, try_number)
        if isinstance(decision, decisions.Deliver) and (
            not call.answer.is_failure
        ):
            self._timing.record_answer(
                key,
                target.target_id,
                sent_s=start_s,
                response_time_s=self._clock() - start_s,
            )
        return decision

    async def _race(self, call, placement, resume_after, start_s):
        """Return the decision to follow and the target of its try."""
        race = _Race()

        async def run_try(try_placement):
            decision = await self._tries.run(call, try_placement, resume_after)
            race.add_result(decision, try_placement.target)

        async with anyio.create_task_group() as group:
            group.start_soon(run_try, placement)
            hedge = await self._wait_for_hedge(
                call, placement.target, race, start_s
            )
            if hedge is not None:
                group.start_soon(run_try, hedge)
                while len(race.results) < 2 and not _has_good_answer(
                    call, race
                ):
                    await race.wait()
            group.cancel_scope.cancel()
        return race.delivered_result or race.results[-1]

    async def _wait_for_hedge(self, call, target, race, start_s):
        """Return the placement of a second try.

        Return None once the first try has ended.
        """
        key = _build_key(call)
        delay_s = self._timing.delay_s(key, objective_s=call.route.objective_s)
        for check_number in itertools.count(1):
            with anyio.move_on_after(delay_s):
                await race.wait()
            if race.results:
                return None
            if not call.ledger.may_hedge:
                continue
            is_lost = (
                check_number >= retries_conf.LOST_AFTER_HEDGE_DELAYS
                and self._timing.seems_lost(
                    key,
                    target.target_id,
                    sent_s=start_s,
                    delay_s=delay_s,
                    now_s=self._clock(),
                )
            )
            decision = call.ledger.apply(events.TargetSlow())
            placement = self._place_hedge(call, decision, is_lost=is_lost)
            if placement is None:
                continue
            logs.write_event(
                'second_try_begun',
                request=call.request.request_id,
                target=target.target_id,
                other=placement.target.target_id,
                delay_s=delay_s,
                lost=is_lost,
            )
            return placement


def _has_good_answer(call, race):
    """Return whether a try has ended with a successful answer."""
    return race.delivered_result is not None and not call.answer.is_failure


def _build_key(call):
    return hedging.HedgeKey(
        service_name=call.service_name,
        route_name=call.route.name,
        size_class=len(call.body).bit_length(),
    )
