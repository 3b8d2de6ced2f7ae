"""Test entries together: what they stop sending, and what they go on with.

Each test plays callers whose request crashes targets beside healthy ones.
"""

import unittest
import unittest.mock

from savoryyoke.quarantine import aggregates

from tests.quarantine import world

# The users' bound: this long after the third crash, a request may reach
# targets three times more, through all entries together.
CRASHES_TO_LEARN = 3
LEARNING_S = 3.0
ARRIVALS_AFTER_LIMIT = 3
SEEDS = range(20)
SECONDS = 30.0
HEALTHY = (
    world.Kind(pause_s=0.05),
    world.Kind(pause_s=0.05, work_s=1.0),
    world.Kind(content=b'popular', pause_s=0.1),
)


def build_fatal(number, **changes):
    """Return the kind of a caller whose request crashes targets."""
    fields = {'content': b'fatal-%d' % number, 'fatal_after_s': 0.03}
    return world.Kind(**(fields | changes))


def count_late(played, content):
    """Return how often a request reached targets after the time to learn."""
    arrivals_s = played.arrivals_s[content]
    crashed_s = played.crashed_s[content]
    if len(crashed_s) < CRASHES_TO_LEARN:
        return 0
    learnt_s = crashed_s[CRASHES_TO_LEARN - 1] + LEARNING_S
    return sum(x > learnt_s for x in arrivals_s)


class FleetCase(unittest.TestCase):
    def play(self, kinds, *, seed, seconds=SECONDS, prepare=None, **changes):
        """Play callers of the kinds and return the world."""
        played = world.World(seed=seed, **changes)
        for kind in (*kinds, *HEALTHY):
            played.after(played.source.random(), played.call, kind)
        if prepare is not None:
            prepare(played)
        played.run(seconds)
        return played

    def check(self, kinds, **changes):
        """Check the bound, and that healthy requests are never refused."""
        fatal = {x.content for x in kinds if x.fatal_after_s is not None}
        for seed in SEEDS:
            with self.subTest(seed=seed):
                played = self.play(kinds, seed=seed, **changes)
                self.check_bound(played, fatal)
                self.check_healthy(played, fatal)

    def check_bound(self, played, fatal):
        """Check that requests that crash targets are sent no more."""
        for content in fatal:
            late = count_late(played, content)
            self.assertLessEqual(late, ARRIVALS_AFTER_LIMIT)

    def check_healthy(self, played, fatal):
        """Check that no other request was refused."""
        self.assertEqual(set(), set(played.refused) - fatal)


class BoundTests(FleetCase):
    def test_one_request(self):
        self.check([build_fatal(0), build_fatal(0)])

    def test_slow_sender(self):
        self.check([build_fatal(0, pause_s=3.0)], seconds=120.0)

    def test_two_requests_side_by_side(self):
        self.check([build_fatal(0), build_fatal(1)])

    def test_targets_that_return_under_their_ids_before_the_list_says_so(self):
        self.check([build_fatal(0)] * 2, keeps_ids=True, list_lag_s=0.8)

    def test_each_start_of_a_target_has_a_release_of_its_own(self):
        self.check(
            [build_fatal(0)] * 2, release=lambda target_id, now_s: target_id
        )

    def test_targets_are_replaced_by_another_release(self):
        def release(target_id, now_s):
            return 'v1' if now_s < 10.0 else 'v2'

        self.check([build_fatal(0)] * 2, release=release)

    def test_many_requests(self):
        self.check([build_fatal(x) for x in range(8)])

    def test_request_that_runs_for_a_while_before_the_crash(self):
        self.check([build_fatal(0, fatal_after_s=0.8)] * 2)

    def test_large_fleet_and_lost_datagrams(self):
        self.check([build_fatal(0)] * 4, entries=16, targets=12, loss=0.3)

    def test_entries_that_restart_one_after_the_other(self):
        def prepare(played):
            for number in range(4):
                played.after(4.0 + 1.5 * number, played.restart, number)

        self.check([build_fatal(0)] * 2, prepare=prepare)

    def test_one_entry_that_hears_no_other(self):
        def hears(one, other, now_s):
            return 0 not in (one, other)

        self.check([build_fatal(0)] * 2, hears=hears)

    def test_halves_that_do_not_hear_each_other(self):
        def hears(one, other, now_s):
            return (one < 2) == (other < 2)

        self.check([build_fatal(0)] * 2, hears=hears)

    def test_many_entries_that_hear_each_other_and_a_slow_sender(self):
        self.check([build_fatal(0, pause_s=2.0)], entries=8, seconds=60.0)

    def test_entries_are_cut_off_for_a_time(self):
        def hears(one, other, now_s):
            return not 2.0 < now_s < 8.0

        self.check([build_fatal(0)] * 2, hears=hears)


class SilentFleetTests(FleetCase):
    """Check entries none of which ever hears another."""

    def play_silent(self, *, seed, seconds=SECONDS, **changes):
        return self.play(
            [build_fatal(0, **changes)] * 2,
            seed=seed,
            seconds=seconds,
            hears=lambda one, other, now_s: False,
        )

    def test_bound(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                played = self.play_silent(seed=seed)
                self.check_bound(played, {b'fatal-0'})

    def test_bound_with_a_slow_sender(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                played = self.play_silent(seed=seed, pause_s=3.0, seconds=90.0)
                self.check_bound(played, {b'fatal-0'})

    def test_healthy_requests(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                played = self.play_silent(seed=seed)
                self.check_healthy(played, {b'fatal-0'})


class HealthyTests(FleetCase):
    def test_targets_that_crash_for_another_cause(self):
        self.check([], prepare=crash_at_random, seconds=120.0)

    def test_beside_requests_that_crash_targets(self):
        self.check([build_fatal(x) for x in range(3)], prepare=crash_at_random)

    def test_entries_that_hear_nobody(self):
        self.check(
            [],
            prepare=crash_at_random,
            hears=lambda one, other, now_s: False,
        )


class MutantTests(FleetCase):
    """Check that the tests above see what they are for."""

    def count_findings(self, kinds, **changes):
        """Return the breaches of the bound and the refused healthy ones."""
        late = healthy = 0
        for seed in range(3):
            played = self.play(kinds, seed=seed, **changes)
            fatal = {x.content for x in kinds}
            late += sum(count_late(played, x) > 3 for x in fatal)
            healthy += len(set(played.refused) - fatal)
        return late, healthy

    def test_entries_that_tell_nobody(self):
        def prepare(played):
            played._loss = 1.0

        kinds = [build_fatal(0, pause_s=0.6)] * 2
        late, _ = self.count_findings(kinds, prepare=prepare, entries=8)
        self.assertGreater(late, 0)

    def test_no_quarantine(self):
        with (
            unittest.mock.patch.object(
                aggregates.evidence.Evidence, 'quarantined', lambda self: ()
            ),
            unittest.mock.patch.object(
                aggregates.evidence.Evidence,
                'status',
                lambda self, fingerprint: aggregates.evidence.Status.CLEAR,
            ),
        ):
            late, _ = self.count_findings([build_fatal(0)])
        self.assertEqual(3, late)

    def test_all_requests_of_a_crash_are_suspected_alike(self):
        with unittest.mock.patch.object(
            aggregates.evidence,
            '_assess',
            lambda crashes, *limits: dict.fromkeys(
                set().union(*crashes), aggregates.evidence.Status.QUARANTINED
            ),
        ):
            _, healthy = self.count_findings(
                [build_fatal(x) for x in range(6)]
            )
        self.assertGreater(healthy, 0)


def crash_at_random(played):
    """Crash a target each second or so, whatever runs there."""
    played.crash(played.source.choice(played.targets))
    played.after(played.source.expovariate(1.0), crash_at_random, played)
