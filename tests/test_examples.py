"""Test that the examples of the pages do what the pages say."""

import contextlib
import io
import pathlib
import re
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / 'docs' / 'howto' / 'embed-the-library.md'
BLOCK = re.compile(r'```(\w+)\n(.*?)```', re.DOTALL)


class EmbeddingExampleTests(unittest.TestCase):
    """Test the example of the embedding guide."""

    def test_example_prints_what_the_page_shows(self):
        blocks = dict(BLOCK.findall(PAGE.read_text()))
        printed = io.StringIO()
        with contextlib.redirect_stdout(printed):
            exec(compile(blocks['python'], str(PAGE), 'exec'), {})
        self.assertEqual(blocks['text'], printed.getvalue())
