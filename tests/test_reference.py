"""Test that the generated reference pages match the code."""

import pathlib
import shutil
import subprocess
import sys
import tempfile
import unittest

from savoryyoke.configuration import faults
from savoryyoke.configuration import meanings
from savoryyoke_edge.settings import checks
from savoryyoke_edge.settings import meanings as settings_meanings

ROOT = pathlib.Path(__file__).resolve().parent.parent
GENERATOR = ROOT / 'tools' / 'generate_reference.py'
PAGES = ROOT / 'docs' / 'ref'


def generate(*arguments):
    """Run the page generator; return the completed process."""
    return subprocess.run(
        [sys.executable, GENERATOR, *arguments],
        capture_output=True,
        text=True,
        timeout=120,
    )


class ReferenceTest(unittest.TestCase):
    """Test the pages and the ``--check`` mode of the generator."""

    def test_pages_match_the_code(self):
        process = generate('--check')
        self.assertEqual(process.returncode, 0, process.stdout)

    def test_check_reports_a_difference(self):
        with tempfile.TemporaryDirectory() as directory:
            for name in ('settings.md', 'operators-file.md', 'problems.md'):
                shutil.copy(PAGES / name, directory)
            page = pathlib.Path(directory) / 'settings.md'
            page.write_text(page.read_text().replace('--vm-id', '--vm', 1))
            process = generate('--check', f'--directory={directory}')
        self.assertEqual(process.returncode, 1)
        self.assertEqual(
            process.stdout, 'settings.md: differs from the code\n'
        )

    def test_every_fault_identifier_has_a_meaning(self):
        for module, meanings_by_id in (
            (faults, meanings.MEANINGS_BY_ID),
            (checks, settings_meanings.MEANINGS_BY_ID),
        ):
            identifiers = {
                value
                for value in vars(module).values()
                if isinstance(value, str) and value.startswith('savoryyoke.E')
            }
            self.assertEqual(identifiers, meanings_by_id.keys())
