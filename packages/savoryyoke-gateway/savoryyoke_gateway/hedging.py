"""Let a second try run beside a slow one; the first whole answer wins."""

import itertools

import anyio

from savoryyoke.forwarding import decisions
from savoryyoke.forwarding import events
from savoryyoke.retries import conf as retries_conf
from savoryyoke.retries import hedging

from savoryyoke_edge import logs


class _Race:
    """Collect the ends of the tries of one request."""

    def __init__(self):
        self.ends = []
        self._has_ended = anyio.Event()

    @property
    def delivery(self):
        """Return the end that brought an answer to deliver, or None."""
        for end in self.ends:
            if isinstance(end[0], decisions.Deliver):
                return end
        return None

    def note(self, decision, target):
        """Take in what a try led to."""
        self.ends.append((decision, target))
        self._has_ended.set()

    async def wait(self):
        """Return once a further try has ended."""
        await self._has_ended.wait()
        self._has_ended = anyio.Event()


class HedgedTries:
    """Carry out tries, with a second one beside a slow one where that pays.

    A try is given up only once the other one has answered.
    ``find_hedge(call, decision, is_lost=...)`` returns a further placement,
    or None; ``is_lost`` is true where the first try is taken for lost.
    """

    def __init__(self, *, tries, find_hedge, clock):
        self._tries = tries
        self._find_hedge = find_hedge
        self._clock = clock
        self._timing = hedging.HedgeTiming()

    async def run(self, call, placed, resume_after):
        """Return the decision that follows, as ``TryRunner.run`` does."""
        if call.is_stream or not call.route.may_repeat:
            return await self._tries.run(call, placed, resume_after)
        key = _build_key(call)
        began_s = self._clock()
        number = self._timing.record_sent(
            key, placed.target.target_id, sent_s=began_s
        )
        try:
            decision, target = await self._race(
                call, placed, resume_after, began_s
            )
        finally:
            self._timing.record_end(key, number)
        if isinstance(decision, decisions.Deliver) and (
            not call.answer.is_failure
        ):
            self._timing.record_answer(
                key,
                target.target_id,
                sent_s=began_s,
                response_time_s=self._clock() - began_s,
            )
        return decision

    async def _race(self, call, placed, resume_after, began_s):
        """Return the decision that counts, and the target that led to it."""
        race = _Race()

        async def try_at(chosen):
            decision = await self._tries.run(call, chosen, resume_after)
            race.note(decision, chosen.target)

        async with anyio.create_task_group() as group:
            group.start_soon(try_at, placed)
            hedge = await self._wait_for_hedge(
                call, placed.target, race, began_s
            )
            if hedge is not None:
                group.start_soon(try_at, hedge)
                while len(race.ends) < 2 and not _is_decided(call, race):
                    await race.wait()
            group.cancel_scope.cancel()
        return race.delivery or race.ends[-1]

    async def _wait_for_hedge(self, call, target, race, began_s):
        """Return the placement of a second try; None once the first ended."""
        key = _build_key(call)
        delay_s = self._timing.delay_s(key, objective_s=call.route.objective_s)
        for check in itertools.count(1):
            with anyio.move_on_after(delay_s):
                await race.wait()
            if race.ends:
                return None
            if not call.ledger.may_hedge:
                continue
            is_lost = (
                check >= retries_conf.LOST_AFTER_HEDGE_DELAYS
                and self._timing.seems_lost(
                    key,
                    target.target_id,
                    sent_s=began_s,
                    delay_s=delay_s,
                    now_s=self._clock(),
                )
            )
            decision = call.ledger.apply(events.TargetSlow())
            placed = self._find_hedge(call, decision, is_lost=is_lost)
            if placed is None:
                continue
            logs.write_event(
                'second_try_begun',
                request=call.request.request_id,
                target=target.target_id,
                other=placed.target.target_id,
                delay_s=delay_s,
                lost=is_lost,
            )
            return placed


def _is_decided(call, race):
    """Return whether a try has ended with an answer that is no failure."""
    return race.delivery is not None and not call.answer.is_failure


def _build_key(call):
    return hedging.HedgeKey(
        service_name=call.service_name,
        route_name=call.route.name,
        size_class=len(call.body).bit_length(),
    )
