"""Show that the checks over real processes turn red."""

import unittest

from savoryyoke_fakes.scenarios import parsing
from savoryyoke_fakes.scenarios import runner

HEAD = 'scenario "red"\npromise {promise}\nseed 1\nbacking processes\n'
END = 'wait until 20 calls ended\nstop traffic\n'


def run(promise, body):
    """Run a scenario against processes and return its result."""
    scenario = parsing.parse(HEAD.format(promise=promise) + body)
    return runner.run(scenario, name='red')


class RedTest(unittest.TestCase):
    """Give each check a stand-in or a script that breaks its promise."""

    def assert_broken(self, promise, body, problem):
        """Check that the last line is broken, for the reason given."""
        result = run(promise, body)
        self.assertFalse(result.held)
        self.assertIn(problem, result.problem)
        line = (HEAD + body).count('\n')
        self.assertTrue(result.problem.startswith(f'line {line}:'))

    def test_application_that_runs_a_payment_twice(self):
        self.assert_broken(
            'at-most-once',
            'set app-a runs_per_payment to 2\n'
            'set app-b runs_per_payment to 2\n'
            'start payments by members at 40 per second\n'
            + END
            + 'expect no payment ran twice\n',
            'ran 2 times',
        )

    def test_engine_that_gives_a_wrong_token(self):
        self.assert_broken(
            'whole-answer',
            'set engine-a wrong_token to 3\n'
            'set engine-b wrong_token to 3\n'
            'start completions by letters at 40 per second\n'
            + END
            + 'expect answers whole or refused\n',
            'wrong',
        )

    def test_target_that_is_killed_instead_of_drained(self):
        self.assert_broken(
            'graceful-stop',
            'start lookups by members at 20 per second\n'
            + END
            + 'kill engine-a\n'
            'expect clean exit of engine-a\n',
            'ended with status -9',
        )

    def test_data_centre_that_stays_in(self):
        self.assert_broken(
            'data-centre-out',
            'start completions by letters at 40 per second\n'
            'wait until 20 calls ended\n'
            'publish data centre dc-a in\n'
            'expect no new work at dc-a after 1 s\n',
            'dc-a got work after',
        )

    def test_change_that_cannot_be_read(self):
        self.assert_broken(
            'config-in-force',
            'platform down\n'
            'publish team crews\n'
            'expect configuration in force within 2 s\n',
            'has 3.2, not 4',
        )

    def test_target_that_is_listed_as_live_again(self):
        # No entry may read the list in between: it would never again send
        # work to that process of the target.
        self.assert_broken(
            'leaving-target',
            'start completions by letters at 40 per second\n'
            'wait until 20 calls ended\n'
            'platform down\n'
            'list engine-a leaving\n'
            'list engine-a live\n'
            'platform back\n'
            'expect no new work at engine-a after 1 s\n',
            'engine-a got work after',
        )

    def test_file_that_is_valid(self):
        self.assert_broken(
            'config-in-force',
            'publish team crews\nexpect file refused within 2 s\n',
            'not reached in 2.0 s',
        )

    def test_entry_that_is_killed_under_load(self):
        self.assert_broken(
            'graceful-stop',
            'start lookups by members at 60 per second\n'
            'wait until 20 calls ended\n'
            'kill entry-b\n'
            'wait 1 s\n'
            'stop traffic\n'
            'expect every call served\n',
            'unanswered ConnectError',
        )
