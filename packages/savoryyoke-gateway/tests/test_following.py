"""Test how an entry reads the platform's published values."""

import unittest

import anyio
import anyio.lowlevel
import prometheus_client

from savoryyoke.published import conf as published_conf
from savoryyoke.published import exceptions as published_exceptions
from savoryyoke.published import models

from savoryyoke_gateway import conf
from savoryyoke_gateway import following
from savoryyoke_gateway import metrics

from tests import clocks


class SilentSource:
    """Answer the first read; don't answer reads of changes while silent."""

    def __init__(self):
        self.is_silent = True
        self.waits_s = []

    async def read_snapshot(self):
        return models.Snapshot(as_of=models.Revision(number=1), items=())

    async def read_changes(self, *, after, wait_s):
        self.waits_s.append(wait_s)
        if self.is_silent:
            await anyio.sleep_forever()
        return models.Changes(
            as_of=models.Revision(number=after.number + 1), events=()
        )


class FakePublishedState:
    """Replace the published values of an entry."""

    def __init__(self):
        self.as_of = models.NO_REVISION
        self.after_outage = []

    def apply(self, reading, *, source, after_outage):
        self.as_of = max(self.as_of, reading.as_of)
        self.after_outage.append(after_outage)

    def begin_outage(self):
        pass


def build_follower(
    source,
    published_state,
    *,
    read_pause_s=0.0,
    long_poll_s=published_conf.LONG_POLL_S,
):
    """Return a follower without peers."""
    return following.Follower(
        source=source,
        published_state=published_state,
        metrics=metrics.GatewayMetrics(
            registry=prometheus_client.CollectorRegistry()
        ),
        ask_peers=anyio.lowlevel.checkpoint,
        choose_read_pause_s=lambda: read_pause_s,
        choose_long_poll_s=lambda: long_poll_s,
    )


class ForgetfulSource:
    """Answer snapshots; report the history as lost for all changes."""

    def __init__(self):
        self.calls = 0

    async def read_snapshot(self):
        self.calls += 1
        return models.Snapshot(as_of=models.Revision(number=1), items=())

    async def read_changes(self, *, after, wait_s):
        self.calls += 1
        raise published_exceptions.HistoryLost('too old')


class FailingSource:
    """Answer each read with the next of some outcomes, then wait.

    An outcome is a revision or an error; a revision repeats the last one
    with another number.
    """

    def __init__(self, *outcomes):
        self._outcomes = list(outcomes)
        self.calls_s = []

    async def read_snapshot(self):
        return await self._read()

    async def read_changes(self, *, after, wait_s):
        return await self._read()

    async def _read(self):
        self.calls_s.append(anyio.current_time())
        if not self._outcomes:
            await anyio.sleep_forever()
        outcome = self._outcomes.pop(0)
        if isinstance(outcome, Exception):
            raise outcome
        return models.Snapshot(as_of=models.Revision(number=outcome), items=())


class LostConnectionTests(unittest.TestCase):
    """Tell a read whose connection is lost from an outage.

    Only after an outage, items that are missing are kept for a time.
    """

    LOST = published_exceptions.SourceUnavailable('silent')

    def follow(self, *outcomes):
        """Return the published state and the times of all reads."""

        async def run():
            source, published_state = (
                FailingSource(*outcomes),
                FakePublishedState(),
            )
            follower = build_follower(source, published_state)
            with anyio.move_on_after(60.0):
                await follower.run()
            return published_state, source.calls_s

        return clocks.run_on_virtual_clock(run)

    def test_single_failed_read_is_no_outage(self):
        published_state, calls_s = self.follow(1, self.LOST, 2)
        self.assertEqual([False, False], published_state.after_outage)
        self.assertEqual(calls_s[1], calls_s[2])

    def test_reads_that_fail_again_are_an_outage(self):
        published_state, calls_s = self.follow(1, self.LOST, self.LOST, 2, 3)
        self.assertEqual([False, True, False], published_state.after_outage)
        self.assertGreater(calls_s[3], calls_s[2])

    def test_platform_that_fails_every_second_read_gets_few_calls(self):
        outcomes = [1, self.LOST] * 50
        _, calls_s = self.follow(*outcomes)
        self.assertGreater(
            calls_s[100] - calls_s[0], 20 * conf.SOURCE_RETRY_DELAY_S
        )


class LostHistoryTests(unittest.TestCase):
    CALLS_LIMIT = 12

    def test_platform_without_history_gets_few_calls(self):
        async def run():
            source = ForgetfulSource()
            follower = build_follower(source, FakePublishedState())
            with anyio.move_on_after(1.0):
                await follower.run()
            return source.calls

        self.assertLessEqual(anyio.run(run), self.CALLS_LIMIT)


class RestartTests(unittest.TestCase):
    def follow(self, *, wait_s, scenario):
        """Run ``scenario`` while a follower reads.

        Its arguments are the follower, the source and the published state.
        """

        async def run():
            source, published_state = SilentSource(), FakePublishedState()
            follower = build_follower(
                source, published_state, read_pause_s=0.05, long_poll_s=wait_s
            )
            async with anyio.create_task_group() as group:
                group.start_soon(follower.run)
                with anyio.fail_after(5.0):
                    while not source.waits_s:
                        await anyio.sleep(0.01)
                    await scenario(follower, source, published_state)
                group.cancel_scope.cancel()

        anyio.run(run)

    def test_long_poll_is_restarted(self):
        async def scenario(follower, source, published_state):
            source.is_silent = False
            self.assertTrue(follower.restart_long_poll())
            while published_state.as_of.number < 2:
                await anyio.sleep(0.01)
            self.assertGreaterEqual(len(source.waits_s), 2)

        self.follow(wait_s=20.0, scenario=scenario)

    def test_short_poll_is_not_restarted(self):
        async def scenario(follower, source, published_state):
            self.assertFalse(follower.restart_long_poll())
            await anyio.sleep(0.05)
            self.assertEqual(1, len(source.waits_s))

        self.follow(wait_s=published_conf.LONG_POLL_S, scenario=scenario)
