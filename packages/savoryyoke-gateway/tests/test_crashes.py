"""Test how an entry notices that a target has crashed."""

import dataclasses
import socket
import time
import types
import unittest

import anyio
import prometheus_client

from savoryyoke.placement import models

from savoryyoke_gateway import conf
from savoryyoke_gateway import crashes
from savoryyoke_gateway import metrics

CALL = types.SimpleNamespace(content=b'content')
PATIENCE_S = 10.0


class KnownReports:
    """Collect the reports of an entry."""

    def __init__(self):
        self.reports = []

    def take_in(self, reports, *, source):
        """Keep the reports."""
        self.reports.extend(reports)


def open_listener():
    """Return a listener on a free port."""
    return socket.create_server(('127.0.0.1', 0))


def build_target(listener):
    """Return the target at a listener's address."""
    host, port = listener.getsockname()
    return models.Target(
        target_id='t',
        incarnation=1,
        service_name='s',
        host=host,
        port=port,
        data_centre='dc-a',
        region='r',
        slots=4,
        is_draining=False,
        is_in_service=True,
        release='v1',
    )


class CrashWatchTests(unittest.TestCase):
    def setUp(self):
        self.known = KnownReports()
        self.listener = open_listener()
        self.addCleanup(self.listener.close)
        self.target = build_target(self.listener)
        self.watch = crashes.CrashWatch(
            suspects=self.known,
            metrics=metrics.GatewayMetrics(
                registry=prometheus_client.CollectorRegistry()
            ),
            clock=time.monotonic,
        )
        self.watch.note_targets((self.target,))

    def examine(self, reason):
        """Report a broken try."""

        async def run():
            await self.watch.examine(CALL, self.target, reason=reason)

        anyio.run(run)

    def assert_reported(self):
        (report,) = self.known.reports
        self.assertEqual(frozenset({b'content'}), report.fingerprints)
        self.assertEqual('v1', report.release)

    def test_target_that_refuses_a_connection_has_crashed(self):
        self.listener.close()
        self.examine('malformed')
        self.assert_reported()

    def test_target_that_takes_a_connection_is_alive(self):
        self.examine('reset')
        self.assertEqual([], self.known.reports)

    def test_listener_that_closes_after_the_connections(self):
        async def run():
            async with anyio.create_task_group() as group:
                group.start_soon(self.watch.run)
                await self.watch.examine(CALL, self.target, reason='reset')
                self.listener.close()
                with anyio.fail_after(PATIENCE_S):
                    while not self.known.reports:
                        await anyio.sleep(conf.CRASH_PROBE_DELAY_S / 10)
                group.cancel_scope.cancel()

        anyio.run(run)
        self.assert_reported()

    def test_silent_target_that_leaves_the_list_has_crashed(self):
        self.examine('silent')
        self.assertEqual([], self.known.reports)
        self.watch.note_targets(())
        self.assert_reported()

    def test_target_that_answers_in_a_bad_way_has_not_crashed(self):
        for reason in ('other-request', 'unsigned', 'encoded', 'too-large'):
            self.examine(reason)
        self.watch.note_targets(())
        self.assertEqual([], self.known.reports)

    def test_caller_that_left_before_the_crash_is_remembered(self):
        self.watch.note_given_up(CALL, self.target)
        self.watch.note_refused(self.target)
        self.assert_reported()

    def test_target_that_drains_does_not_crash(self):
        draining = dataclasses.replace(self.target, is_draining=True)
        self.watch.note_targets((draining,))
        self.listener.close()
        self.examine('reset')
        self.assertEqual([], self.known.reports)
