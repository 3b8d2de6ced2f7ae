"""Tests of parsing, including malicious texts."""

import unittest

from savoryyoke.configuration import conf
from savoryyoke.configuration import faults
from savoryyoke.configuration import parsing

ALIAS_BOMB = 'a: &a [x, x]\nb: &b [*a, *a]\nc: [*b, *b]\n'


def parse(text, *, source=faults.Source.BASE):
    """Parse ``text``, by default as a base."""
    return parsing.parse(text, source=source)


class ParseTest(unittest.TestCase):
    """Test the tree that results from a text."""

    def test_scalars_follow_yaml_1_2(self):
        text = (
            'a: yes\nb: 12:30\nc: 010\nd: 1e3\ne: ~\nf: "5"\ng: TRUE\n'
            'h: 2001-01-01\ni: -7\nj: [1.5, {k: false}]\n1: x\n'
        )
        expected = {
            'a': 'yes',
            'b': '12:30',
            'c': 10,
            'd': 1000.0,
            'e': None,
            'f': '5',
            'g': True,
            'h': '2001-01-01',
            'i': -7,
            'j': [1.5, {'k': False}],
            '1': 'x',
        }
        parsed = parse(text)
        self.assertEqual(parsed.faults, ())
        self.assertEqual(parsed.tree, expected)

    def test_an_overlay_may_be_empty_and_a_base_not(self):
        text = '# nothing\n'
        overlay = parse(text, source=faults.Source.OVERLAY)
        self.assertEqual((overlay.tree, overlay.faults), ({}, ()))
        self.assertEqual(parse(text).faults[0].id, faults.NOT_A_MAPPING)


class MaliciousTextTest(unittest.TestCase):
    """Test that malicious texts result in faults at little cost."""

    def test_each_fault_has_its_path(self):
        text = (
            'a: {b: 1, b: 2}\nc: [{d: 1, d: 2}, !x y]\n'
            '? [k, l]\n: e\ne: 1\ne: 2\n'
        )
        found = [(fault.id, fault.path) for fault in parse(text).faults]
        expected = [
            (faults.DUPLICATE_KEY, 'a.b'),
            (faults.DUPLICATE_KEY, 'c.1.d'),
            (faults.TAG, 'c.1'),
            (faults.KEY_NOT_SCALAR, ''),
            (faults.DUPLICATE_KEY, 'e'),
        ]
        self.assertEqual(found, expected)

    def test_texts_are_refused(self):
        nested = conf.DEPTH_LIMIT * '[' + '{}' + conf.DEPTH_LIMIT * ']'
        cases = {
            'a: [1,\n': faults.SYNTAX,
            'a: 1\n---\nb: 2\n': faults.SYNTAX,
            'a: \x00': faults.SYNTAX,
            'a: \ud800': faults.SYNTAX,
            ALIAS_BOMB: faults.ALIAS,
            'a: &unused 1\n': faults.ALIAS,
            '<<: {a: 1}\nb: *a\n': faults.ALIAS,
            'a: !!python/object/apply:os.system [ls]\n': faults.TAG,
            'a: !!str 5\n': faults.TAG,
            '[1]': faults.NOT_A_MAPPING,
            nested: faults.TOO_DEEP,
            '- ' * 400_000: faults.TOO_DEEP,
            'a: ' + 'x' * conf.TEXT_LIMIT_BYTES: faults.TOO_LARGE,
            'a: ' + '\u20ac' * (conf.TEXT_LIMIT_BYTES // 3): faults.TOO_LARGE,
        }
        for text, expected in cases.items():
            with self.subTest(text=text[:30]):
                found = {fault.id for fault in parse(text).faults}
                self.assertEqual(found, {expected})

    def test_parsing_stops_after_many_faults(self):
        found = parse('a: 1\n' * 10_000).faults
        self.assertEqual(len(found), conf.FAULTS_LIMIT + 1)

    def test_a_fault_is_one_line(self):
        key = 'x\\n\\e[31m' + 'y' * 500
        (fault,) = parse(f'"{key}": 1\n"{key}": 2\n').faults
        self.assertTrue(str(fault).isprintable())
        self.assertLess(len(str(fault)), 250)
