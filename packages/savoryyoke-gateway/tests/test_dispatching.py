"""Test cold targets of several entries, and values that targets state."""

import dataclasses
import random
import unittest
from unittest import mock

import anyio
import prometheus_client

from savoryyoke.catalogue import models as catalogue_models
from savoryyoke.placement import decisions
from savoryyoke.placement import events
from savoryyoke.placement import models

from savoryyoke_gateway import dispatching
from savoryyoke_gateway import metrics
from savoryyoke_gateway import requests

# The users' engines can serve 36 requests a second while they are cold. The
# platform allows at most 1.5 times that rate and 5 further requests.
RATE_PER_S = 36.0
LIMIT = 1.5 * RATE_PER_S + 5
REQUESTS_PER_S = 400
SECONDS = 4
TARGET = models.Target(
    target_id='t',
    incarnation=1,
    service_name='s',
    host='10.0.0.1',
    port=80,
    data_centre='dc-a',
    region='r',
    slots=10**6,
    is_draining=False,
    is_in_service=True,
)
SERVICE = catalogue_models.Service(
    name='s',
    slots=None,
    cold_limit=catalogue_models.ColdLimit(rate_per_s=RATE_PER_S),
)


class Fleet:
    """Simulate entries that place requests without any heartbeats."""

    def __init__(self, *, entries):
        self._entries = entries
        self._random = random.Random(entries)
        self._now_s = 0.0
        self._numbers = 0
        self.sent_s = []
        self._dispatching = [self._start() for _ in range(entries)]

    def _start(self):
        entry = dispatching.Dispatching(
            own_data_centre='dc-a',
            random_fraction=self._random.random,
            clock=lambda: self._now_s,
            metrics=metrics.GatewayMetrics(
                registry=prometheus_client.CollectorRegistry()
            ),
        )
        entry.update_targets(
            services_by_name={'s': SERVICE},
            targets=[TARGET],
            entry_count=self._entries,
        )
        return entry

    async def run(self):
        """Send requests to random entries; the target answers immediately.

        A request that would have to wait is withdrawn.
        """
        for number in range(SECONDS * REQUESTS_PER_S):
            self._now_s = number / REQUESTS_PER_S
            await self._place(self._random.choice(self._dispatching))

    async def _place(self, entry):
        self._numbers += 1
        arrival = events.RequestArrived(
            request_id=str(self._numbers),
            is_on_time=True,
            priority=0,
            wait_until_s=self._now_s + 1.0,
            time_left_s=1.0,
        )
        placement = None
        with anyio.move_on_after(0):
            placement = await entry.place('s', arrival)
        if isinstance(placement, decisions.Place):
            self.sent_s.append(self._now_s)
            ended = events.TryEnded(
                target_id='t',
                incarnation=1,
                result=models.TryResult.ANSWERED,
            )
            entry.record_try_end('s', ended)

    def most_in_a_second(self):
        """Return the largest number of requests within any second."""
        return max(
            sum(start <= x < start + 1 for x in self.sent_s)
            for start in self.sent_s
        )


class ColdTargetTests(unittest.TestCase):
    def play(self, entries):
        """Return the most requests within a second and their total."""
        fleet = Fleet(entries=entries)
        anyio.run(fleet.run)
        return fleet.most_in_a_second(), len(fleet.sent_s)

    def test_fleets_of_many_sizes_keep_the_limit(self):
        for entries in (1, 3, 8, 16, 43):
            with self.subTest(entries=entries):
                most, _ = self.play(entries)
                self.assertLessEqual(most, LIMIT)

    def test_fleets_of_the_planned_size_keep_the_limit(self):
        for entries in (80, 350):
            with self.subTest(entries=entries):
                most, _ = self.play(entries)
                self.assertLessEqual(most, LIMIT)

    def test_more_than_half_of_the_rate_is_used(self):
        for entries in (8, 43, 80, 350):
            with self.subTest(entries=entries):
                _, total = self.play(entries)
                self.assertGreater(total / SECONDS, RATE_PER_S / 2)


class EarlyTimerTests(unittest.TestCase):
    """Test a wait whose timer fires just before its end."""

    WAIT_UNTIL_S = 0.01
    # The clock at the arrival, as the wait begins, at the tick after it, which
    # is too early by a nanosecond, and after that.
    TIMES_S = (0.0, 0.0, WAIT_UNTIL_S - 1e-9)

    def test_request_for_a_full_target_is_decided(self):
        times_s = [0.0, *self.TIMES_S]
        entry = dispatching.Dispatching(
            own_data_centre='dc-a',
            random_fraction=lambda: 0.5,
            clock=lambda: times_s.pop(0) if times_s else 1.0,
            metrics=metrics.GatewayMetrics(
                registry=prometheus_client.CollectorRegistry()
            ),
        )
        entry.update_targets(
            services_by_name={
                's': dataclasses.replace(SERVICE, cold_limit=None)
            },
            targets=[dataclasses.replace(TARGET, slots=0)],
            entry_count=1,
        )
        arrival = events.RequestArrived(
            request_id='r',
            is_on_time=True,
            priority=0,
            wait_until_s=self.WAIT_UNTIL_S,
            time_left_s=1.0,
        )
        decision = anyio.run(entry.place, 's', arrival)
        self.assertIsInstance(decision, decisions.Refuse)


class RefusedValueTests(unittest.TestCase):
    """Test that unusable values of answers are logged once for each target."""

    def setUp(self):
        self.dispatching = dispatching.Dispatching(
            own_data_centre='dc-a',
            random_fraction=lambda: 0.5,
            clock=lambda: 0.0,
            metrics=metrics.GatewayMetrics(
                registry=prometheus_client.CollectorRegistry()
            ),
        )
        self.list_targets(TARGET)

    def list_targets(self, *targets):
        self.dispatching.update_targets(
            services_by_name={'s': SERVICE}, targets=targets, entry_count=1
        )

    def answer(self):
        """Return the events that an answer with two unusable values logs."""
        head = requests.AnswerHead(
            status=503,
            headers=(),
            is_refusal=True,
            is_misdirected=False,
            fault=None,
            unusable_pause='soon',
            unusable_rate_limit='few',
        )
        with mock.patch.object(dispatching.logs, 'write_event') as write_event:
            self.dispatching.record_answer_head('s', TARGET, head, asked_s=0.0)
        return [call.args[0] for call in write_event.call_args_list]

    def test_each_value_is_logged_once(self):
        self.assertEqual(
            ['pause_refused', 'rate_limit_refused'], self.answer()
        )
        self.assertEqual([], self.answer())

    def test_values_are_logged_again_for_a_target_that_was_removed(self):
        self.answer()
        self.list_targets()
        self.list_targets(TARGET)
        self.assertEqual(
            ['pause_refused', 'rate_limit_refused'], self.answer()
        )
