"""Test what entries hold in force under random histories of the store."""

import dataclasses
import os
import unittest
from unittest import mock

from absl import logging
import hypothesis
from hypothesis import strategies

from savoryyoke.published import models
from savoryyoke.published import source_health
from savoryyoke.published import view

from tests import histories

# A larger number plays that many fresh histories.
EXAMPLES_VARIABLE = 'SAVORYYOKE_HISTORIES'
PROFILE = hypothesis.settings(
    derandomize=EXAMPLES_VARIABLE not in os.environ,
    database=None,
    report_multiple_bugs=False,
    deadline=None,
    max_examples=int(os.environ.get(EXAMPLES_VARIABLE, '400')),
    suppress_health_check=[
        hypothesis.HealthCheck.differing_executors,
        hypothesis.HealthCheck.too_slow,
        hypothesis.HealthCheck.data_too_large,
    ],
)

PAUSES_S = strategies.sampled_from([0.0, 0.02, 0.1, 0.4, 0.7, 1.5])
TARGET_KEYS = strategies.sampled_from(histories.TARGETS)
KEYS = strategies.sampled_from(histories.KEYS)
NUMBERS = strategies.integers(0, histories.ENTRIES - 1)
ACTIONS = {
    'write': KEYS,
    'remove': KEYS,
    'write_and_remove': TARGET_KEYS,
    'copy': strategies.none(),
    'restore': strategies.none(),
    'lose': strategies.none(),
    'forget_history': strategies.none(),
    'cut': NUMBERS,
    'silence': NUMBERS,
    'copy_view': strategies.tuples(NUMBERS, NUMBERS),
    'restart': NUMBERS,
    'set_read_pause': strategies.sampled_from([0.0, 0.2, 0.4]),
}


def build_histories(names):
    """Return a strategy for the steps of a history of some actions."""
    steps = (
        strategies.tuples(PAUSES_S, strategies.just(name), ACTIONS[name])
        for name in names
    )
    return strategies.lists(strategies.one_of(*steps), max_size=25)


class QuietCase(unittest.TestCase):
    """Leave out the warnings of the followers."""

    def setUp(self):
        verbosity = logging.get_verbosity()
        logging.set_verbosity(logging.FATAL)
        self.addCleanup(logging.set_verbosity, verbosity)


class RandomHistoryTests(QuietCase):
    @hypothesis.given(steps=build_histories(ACTIONS))
    @PROFILE
    def test_views_follow_the_store(self, steps):
        histories.play(steps)


class MutationTests(QuietCase):
    """Check that random histories reveal each fault that was found."""

    def assert_caught(self, owner, name, mutant, *, actions):
        """Assert that histories of some actions break a promise."""

        @hypothesis.given(steps=build_histories(actions))
        @hypothesis.settings(
            PROFILE,
            derandomize=True,
            max_examples=1000,
            phases=[hypothesis.Phase.generate],
        )
        def play(steps):
            histories.play(steps)

        with mock.patch.object(owner, name, mutant):
            with self.assertRaises(histories.BrokenPromise):
                play()

    def test_taking_a_lost_connection_for_an_outage(self):
        self.assert_caught(
            source_health.SourceHealth,
            'is_lost',
            property(lambda self: self._failures > 0),
            actions=('remove', 'silence'),
        )

    def test_applying_removals_before_writes(self):
        apply = view.PublishedView.apply

        def apply_reordered(self, reading, **options):
            if isinstance(reading, models.Changes):
                events = sorted(
                    reading.events,
                    key=lambda event: not isinstance(event, models.Removal),
                )
                reading = models.Changes(
                    as_of=reading.as_of, events=tuple(events)
                )
            return apply(self, reading, **options)

        self.assert_caught(
            view.PublishedView,
            'apply',
            apply_reordered,
            actions=('write_and_remove', 'set_read_pause'),
        )

    def test_holding_on_after_a_removal_that_a_snapshot_shows(self):
        remove = view.PublishedView._remove

        def remove_unless_held(self, key, *arguments):
            if key in self._holds:
                return False
            return remove(self, key, *arguments)

        self.assert_caught(
            view.PublishedView,
            '_remove',
            remove_unless_held,
            actions=('copy', 'remove', 'restore', 'cut'),
        )

    def test_ignoring_a_value_that_is_written_again(self):
        write = view.PublishedView._write

        def write_unless_known(self, item, now_s):
            accepted = self._items_by_key.get(item.key)
            if accepted is not None and item.is_same_write(accepted):
                return False
            return write(self, item, now_s)

        self.assert_caught(
            view.PublishedView,
            '_write',
            write_unless_known,
            actions=('copy', 'write', 'restore', 'cut'),
        )

    def test_copying_lapsing_items_without_their_end(self):
        take_snapshot = view.PublishedView.take_snapshot

        def take_without_lapses(self, *, now_s):
            snapshot = take_snapshot(self, now_s=now_s)
            return dataclasses.replace(snapshot, lapses=())

        self.assert_caught(
            view.PublishedView,
            'take_snapshot',
            take_without_lapses,
            actions=('lose', 'remove', 'copy_view', 'silence'),
        )

    def test_dropping_items_whose_leases_expired_in_an_outage(self):
        self.assert_caught(
            view.PublishedView,
            '_begin_grace',
            lambda self, reading, now_s: None,
            actions=('lose',),
        )


if __name__ == '__main__':
    unittest.main()
