"""Test the language of scenarios."""

import unittest

from savoryyoke_fakes.scenarios import exceptions
from savoryyoke_fakes.scenarios import parsing
from savoryyoke_fakes.scenarios import steps

TEXT = """\
# An entry freezes.
scenario "freeze"
promise at-most-once
seed 7
backing processes

start payments by members at 2.5 per second  # a steady rate
freeze entry-a
expect no new work at dc-a after 5 s
"""


class ParsingTest(unittest.TestCase):
    """Check what the language takes in and how it refuses the rest."""

    def test_words_become_steps_with_their_lines(self):
        scenario = parsing.parse(TEXT)
        self.assertEqual('at-most-once', scenario.promise)
        self.assertEqual(7, scenario.seed)
        self.assertEqual(
            (
                steps.StartTraffic(
                    line=7, kind='payments', team='members', rate_per_s=2.5
                ),
                steps.Freeze(line=8, place='entry-a'),
                steps.NoNewWork(line=9, place='dc-a', seconds=5.0),
            ),
            scenario.steps,
        )

    def test_wrong_words_are_refused_with_line_and_expected_words(self):
        cases = (
            ('at 2.5', 'about 2.5', 7, ('at',)),
            ('by members', 'by 5', 7, ('name',)),
            ('2.5 per', 'fast per', 7, ('number',)),
            ('backing processes', 'backing paper', 5, None),
            ('at-most-once', 'at-least-once', 3, parsing.PROMISES),
            ('seed 7\n', '', 4, ('seed',)),
            ('expect no new work at dc-a after 5 s\n', '', 8, ('expect',)),
        )
        for old, new, line, expected in cases:
            with self.subTest(new=new):
                with self.assertRaises(exceptions.InvalidScenario) as caught:
                    parsing.parse(TEXT.replace(old, new))
                self.assertEqual(line, caught.exception.line)
                if expected is not None:
                    self.assertEqual(expected, caught.exception.expected)
                self.assertIn('expected', str(caught.exception))
