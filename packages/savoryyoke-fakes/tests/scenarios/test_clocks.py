"""Show that the checks in virtual time turn red for wrong decisions."""

import dataclasses
import pathlib
import unittest
from unittest import mock

from savoryyoke.admission import warmup
from savoryyoke.calls.ledger import rules
from savoryyoke.calls.testing import world as worlds
from savoryyoke.groups.switching import barrier
from savoryyoke.groups.switching import engines
from savoryyoke.routing import registry
from savoryyoke_fakes.scenarios import runner

DIRECTORY = pathlib.Path(__file__).parents[4] / 'scenarios'
SEEDS = range(8)


class _RestartedTarget(worlds.Target):
    """Take the number of the process before as its own."""

    def __init__(self, *, target_id, incarnation, now_s, limits):
        super().__init__(
            target_id=target_id,
            incarnation=1_000 + int(target_id[1:]),
            now_s=now_s,
            limits=limits,
        )


def run_seeds(name):
    """Return the results of a scenario for eight seeds."""
    scenario = runner.read(DIRECTORY / f'{name}.scenario')
    return [
        runner.run(dataclasses.replace(scenario, seed=seed), name=name)
        for seed in SEEDS
    ]


class ClockTest(unittest.TestCase):
    """Run each scenario as it is, and with a rule left out."""

    def assert_turns_red(self, name, *patch):
        """Check that eight seeds hold, and that one breaks when patched."""
        self.assertEqual([], [r for r in run_seeds(name) if not r.held])
        with mock.patch.object(*patch):
            broken = [r for r in run_seeds(name) if not r.held]
        self.assertTrue(broken)
        return broken[0].problem

    def test_ledger_that_forgets_its_incarnation(self):
        problem = self.assert_turns_red(
            'combined-failures-of-payments',
            worlds,
            'Target',
            _RestartedTarget,
        )
        self.assertIn('ran twice', problem)

    def test_ledger_that_ignores_stamps(self):
        problem = self.assert_turns_red(
            'combined-failures-of-refusals',
            rules.Rules,
            '_find_refusal_reason',
            lambda *args: None,
        )
        self.assertIn('ran after it was refused', problem)

    def test_ledger_that_refuses_what_it_has_forgotten(self):
        problem = self.assert_turns_red(
            'combined-failures-of-refusals',
            rules.Rules,
            '_respond_by_window',
            lambda *args: (),
        )
        self.assertIn('was refused although it ran', problem)

    def test_limit_that_stays_when_a_target_turns_cold(self):
        problem = self.assert_turns_red(
            'cold-targets',
            warmup.ConcurrencyLimit,
            '__init__',
            _start_warm,
        )
        self.assertIn('overruns', problem)

    def test_router_that_keeps_a_data_centre(self):
        problem = self.assert_turns_red(
            'partitioned-data-centre-out',
            registry.TargetRegistry,
            'exclude_data_centre',
            lambda self, data_centre: None,
        )
        self.assertIn('dc-a got work', problem)

    def test_group_that_switches_when_one_rank_offers(self):
        problem = self.assert_turns_red(
            'expert-maps', barrier, 'choose_switch', _switch_alone
        )
        self.assertIn('not whole in memory', problem)

    def test_rank_that_misses_a_switch(self):
        problem = self.assert_turns_red(
            'expert-maps', engines.RankEngine, '_activate', _activate_but_one
        )
        self.assertIn('mixed steps', problem)


_ACTIVATE = engines.RankEngine._activate
_INIT = warmup.ConcurrencyLimit.__init__


def _start_warm(self, *, limits, policy):
    cold = dataclasses.replace(
        limits, initial_concurrency=limits.max_concurrency
    )
    _INIT(self, limits=cold, policy=policy)


def _switch_alone(words):
    offers = [word.offer for word in words if word.offer]
    return offers[0] if offers else None


def _activate_but_one(self, identity):
    if self.state.rank != 3 or self.state.active is None:
        _ACTIVATE(self, identity)
