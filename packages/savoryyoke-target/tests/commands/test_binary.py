"""Tests of the command line of savoryyoke-target."""

import subprocess
import sys
import unittest

FLAGS = (
    '--vm-id=vm-1',
    '--data-centre=north',
    '--site=north',
    '--platform-url=http://127.0.0.1:9',
    '--service=letters',
    '--target-id=letters-1',
    '--backend-url=http://127.0.0.1:8000',
    '--backend-kind=engine',
)


def run(*arguments):
    """Run the program and return the completed process."""
    return subprocess.run(
        [sys.executable, '-m', 'savoryyoke_target', 'run', *arguments],
        capture_output=True,
        text=True,
        timeout=60,
    )


class BinaryTest(unittest.TestCase):
    """Test that settings are printed, or the errors in them."""

    def test_settings_are_printed(self):
        process = run(*FLAGS, '--print-settings')
        self.assertEqual((process.returncode, process.stderr), (0, ''))
        self.assertIn('\ntarget_id=letters-1\n', process.stdout)

    def test_errors_are_printed_one_per_line(self):
        process = run(*FLAGS[2:], '--backend-kind=disk')
        self.assertEqual((process.returncode, process.stdout), (2, ''))
        self.assertIn('given twice', process.stderr)
        process = run(*FLAGS[2:-1], '--backend-kind=disk')
        self.assertEqual((process.returncode, process.stdout), (2, ''))
        self.assertEqual(len(process.stderr.splitlines()), 3)
        self.assertNotIn('Traceback', process.stderr)
