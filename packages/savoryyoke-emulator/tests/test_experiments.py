"""Test the loading and changing of experiments."""

import tomllib
import unittest

from savoryyoke_emulator import exceptions
from savoryyoke_emulator import experiments
from savoryyoke_emulator import models

from tests import support


class ExperimentTests(unittest.TestCase):
    def setUp(self):
        self.document = tomllib.loads(support.HEAVY.read_text())

    def assert_problems(self, *expected_texts):
        """Check that all problems are reported at once."""
        with self.assertRaises(exceptions.InvalidExperiment) as caught:
            experiments.build(self.document)
        for text in expected_texts:
            self.assertIn(text, str(caught.exception))

    def test_shipped_experiments_are_valid(self):
        for path in sorted(support.DIRECTORY.glob('*.toml')):
            with self.subTest(path=path.name):
                self.assertTrue(experiments.load(path).name)

    def test_troubles_are_in_order_of_time(self):
        troubles = experiments.load(support.HEAVY).troubles
        self.assertEqual(
            sorted(trouble.at_s for trouble in troubles),
            [trouble.at_s for trouble in troubles],
        )
        self.assertIs(models.TroubleKind.KILL, troubles[-1].kind)

    def test_all_problems_are_reported_at_once(self):
        del self.document['maps']
        self.document['engines']['ranks'] = 'many'
        self.document['traffic']['speed'] = 3
        self.document['trouble'].append({'kind': 'flood', 'at_s': 1})
        self.document['colour'] = 'red'
        self.assert_problems(
            'maps: is missing',
            'engines.ranks: is missing or no number',
            'traffic.speed: is unknown',
            'flood',
            'colour: is unknown',
        )

    def test_missing_file_is_reported(self):
        with self.assertRaises(exceptions.InvalidExperiment):
            experiments.load(support.DIRECTORY / 'none.toml')

    def test_one_value_is_changed(self):
        loaded = experiments.build(self.document)
        changed = experiments.change(loaded, 'fleet.engine_requests=4')
        self.assertEqual(4, changed.fleet.engine_requests)
        self.assertEqual(loaded.maps, changed.maps)

    def test_several_values_are_changed(self):
        loaded = experiments.build(self.document)
        text = 'maps.even=1.2+fleet.entries=1'
        changed = experiments.change(loaded, text)
        self.assertEqual(1.2, changed.maps.even)
        self.assertEqual(1, changed.fleet.entries)

    def test_invalid_changes_are_refused(self):
        loaded = experiments.build(self.document)
        for text in ('fleet.colour=4', 'colour=4', 'fleet.entries=many'):
            with self.subTest(text=text):
                with self.assertRaises(exceptions.InvalidExperiment):
                    experiments.change(loaded, text)
