"""Test that the examples in the documentation print what it shows."""

import contextlib
import io
import pathlib
import re
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / 'docs' / 'howto' / 'embed-the-library.md'
CODE_BLOCK = re.compile(r'```(\w+)\n(.*?)```', re.DOTALL)


class EmbeddingExampleTests(unittest.TestCase):
    """Test the example in the guide to embedding the library."""

    def test_example_prints_what_the_page_shows(self):
        blocks = dict(CODE_BLOCK.findall(PAGE.read_text()))
        printed = io.StringIO()
        with contextlib.redirect_stdout(printed):
            exec(compile(blocks['python'], str(PAGE), 'exec'), {})
        self.assertEqual(blocks['text'], printed.getvalue())
