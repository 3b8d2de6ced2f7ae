"""Test the text form of bound keys."""

import unittest

import hypothesis
from hypothesis import strategies
from savoryyoke.calls import exceptions
from savoryyoke.calls import keys

_WORD = strategies.text(
    alphabet=[chr(code) for code in range(0x21, 0x7E)], min_size=1, max_size=40
)


class BoundKeyTest(unittest.TestCase):
    """Check that each key has exactly one text form."""

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
    @hypothesis.given(
        target_id=_WORD,
        incarnation=strategies.integers(0, keys.INCARNATION_LIMIT - 1),
        window=strategies.integers(0, keys.WINDOW_LIMIT - 1),
        suffix=_WORD,
    )
    def test_parsing_inverts_formatting(self, **parts):
        key = keys.BoundKey(**parts)
        self.assertEqual(key, keys.parse(key.format()))

    def test_other_texts_are_rejected(self):
        valid = f'sy1~t1~{7:016x}~3~order-1'
        self.assertEqual('order-1', keys.parse(valid).suffix)
        for text in (
            'order-1',
            '',
            valid + '~x',
            valid.replace('~3~', '~03~'),
            valid.replace('~3~', '~-3~'),
            valid.replace('~3~', '~٣~'),
            valid.replace('7', 'A'),
            valid.replace('sy1', 'sy2'),
            valid.replace('order-1', ''),
            valid.replace('order-1', 'a b'),
            valid.replace('order-1', 'x' * 129),
            valid.replace('t1', 't' * 240),
            valid + '\n',
        ):
            with self.subTest(text):
                self.assertRaises(exceptions.InvalidKey, keys.parse, text)
