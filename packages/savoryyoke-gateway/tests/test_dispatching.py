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
from savoryyoke.scarcity import models as scarcity_models

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


def build_dispatching():
    """Return the dispatching of an entry whose clock stands still."""
    return dispatching.Dispatching(
        own_data_centre='dc-a',
        random_fraction=lambda: 0.5,
        clock=lambda: 0.0,
        metrics=metrics.GatewayMetrics(
            registry=prometheus_client.CollectorRegistry()
        ),
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
        self.dispatching = build_dispatching()
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


class RetiredTargetTests(unittest.TestCase):
    """Guard against targets that outlast the configuration of a service."""

    def setUp(self):
        self.dispatching = build_dispatching()

    def update(self, *, targets=(), retired_targets=()):
        self.dispatching.update_targets(
            services_by_name={'s': SERVICE} if targets else {},
            targets=targets,
            retired_targets=retired_targets,
            entry_count=1,
        )

    def place(self):
        """Return the decision on a request for the service ``s``."""
        return anyio.run(
            self.dispatching.place,
            's',
            events.RequestArrived(
                request_id='r',
                is_on_time=True,
                priority=0,
                wait_until_s=1.0,
                time_left_s=1.0,
            ),
        )

    def test_earlier_requests_use_targets_that_are_still_published(self):
        self.update(targets=[TARGET])
        self.update(retired_targets=[TARGET])
        self.assertIsInstance(self.place(), decisions.Place)

    def test_last_target_that_leaves_is_not_used(self):
        self.update(targets=[TARGET])
        self.update()
        self.assertIsInstance(self.place(), decisions.Refuse)

    def test_service_that_was_never_configured_has_no_targets(self):
        self.update(retired_targets=[TARGET])
        self.assertIsInstance(self.place(), decisions.Refuse)
        self.assertEqual(frozenset(), self.dispatching.releases('s'))


class ScarcityTermsTests(unittest.TestCase):
    """Guard against terms that reach the wrong service or outlive it."""

    TERMS = scarcity_models.Terms(priorities=(0, 2, 5), pause_limit_s=0.15)

    def setUp(self):
        self.now_s = 1.0
        self.dispatching = dispatching.Dispatching(
            own_data_centre='dc-a',
            random_fraction=random.Random(1).random,
            clock=lambda: self.now_s,
            metrics=metrics.GatewayMetrics(
                registry=prometheus_client.CollectorRegistry()
            ),
        )

    def update(self, terms_by_service):
        """Publish the services ``s`` and ``other`` with these terms."""
        engines = catalogue_models.Service(name='s', slots=10, cold_limit=None)
        other_target = dataclasses.replace(
            TARGET, target_id='o', service_name='other'
        )
        self.dispatching.update_targets(
            services_by_name={
                's': engines,
                'other': dataclasses.replace(engines, name='other'),
            },
            targets=[dataclasses.replace(TARGET, slots=10), other_target],
            entry_count=1,
            terms_by_service=terms_by_service,
        )

    def find_urgency(self, service_name, *, priority, team=None):
        call = mock.Mock(service_name=service_name, team=team)
        call.route.priority = priority
        return self.dispatching.find_urgency(call)

    def test_only_services_with_terms_tell_targets_the_urgency(self):
        self.update({'s': self.TERMS})
        self.assertEqual(2, self.find_urgency('s', priority=5))
        self.assertIsNone(self.find_urgency('other', priority=5))

    def test_urgency_ends_with_the_terms(self):
        self.update({'s': self.TERMS})
        self.update({})
        self.assertIsNone(self.find_urgency('s', priority=5))

    def test_same_terms_keep_what_was_measured(self):
        """Each change of a target publishes the terms again."""
        for publish_again in (False, True):
            with self.subTest(publish_again=publish_again):
                self.setUp()
                self.update({'s': self.TERMS})
                self.dispatching.record_pause('s', TARGET, 0.4)
                if publish_again:
                    self.update({'s': self.TERMS})
                anyio.run(self.place)
                self.assertLess(self.dispatching.group_limits(), 1.0)

    def test_terms_of_other_targets_are_neither_used_nor_logged(self):
        """Guard against a log line with each change of a target."""
        with mock.patch.object(dispatching.logs, 'write_event') as write_event:
            for _ in range(3):
                self.dispatching.update_targets(
                    services_by_name={
                        's': catalogue_models.Service(
                            name='s', slots=None, cold_limit=None
                        )
                    },
                    targets=[TARGET],
                    entry_count=1,
                    terms_by_service={'s': self.TERMS},
                )
        self.assertEqual([], write_event.mock_calls)
        self.assertIsNone(self.find_urgency('s', priority=5))

    def test_pauses_without_terms_limit_nothing(self):
        self.update({})
        self.dispatching.record_pause('s', TARGET, 0.4)
        anyio.run(self.place)
        self.assertEqual(1.0, self.dispatching.group_limits())

    async def place(self):
        """Place a request at the service ``s``, which runs some of a peer.

        A group with little load has no limit.
        """
        self.dispatching.set_peer_requests(
            peer_id='peer', requests_by_target_id={TARGET.target_id: 4}
        )
        placement = await self.dispatching.place(
            's',
            events.RequestArrived(
                request_id='r',
                is_on_time=True,
                priority=0,
                wait_until_s=2.0,
                time_left_s=5.0,
            ),
        )
        self.assertIsInstance(placement, decisions.Place)
