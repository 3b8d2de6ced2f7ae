"""Tests of merging, including a comparison with a naive implementation."""

import copy
import unittest

import hypothesis
from hypothesis import strategies

from savoryyoke.configuration import faults
from savoryyoke.configuration import merging
from tests.configuration import samples

PROFILE = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=300, database=None
)
KEYS = strategies.sampled_from(['a', 'b', 'c'])
LEAVES = strategies.sampled_from([0, 1, 'x', [1], [2, 3]])
TREES = strategies.recursive(
    strategies.dictionaries(KEYS, LEAVES, max_size=3),
    lambda children: strategies.dictionaries(
        KEYS, LEAVES | children, max_size=3
    ),
    max_leaves=12,
)
OVERLAYS = strategies.recursive(
    strategies.dictionaries(KEYS, LEAVES | strategies.none(), max_size=3),
    lambda children: strategies.dictionaries(
        KEYS, LEAVES | strategies.none() | children, max_size=3
    ),
    max_leaves=12,
)


def flatten(tree, path=()):
    """Yield each path of ``tree`` with its value, or ``{}`` for a mapping."""
    for key, value in tree.items():
        if isinstance(value, dict):
            yield (*path, key), {}
            yield from flatten(value, (*path, key))
        else:
            yield (*path, key), value


def merge_naively(base, overlay):
    """Return the merged values by path, or None if the merge has a fault.

    Paths are set or deleted one at a time in a flat table.
    """
    table = dict(flatten(base))
    for path, value in flatten(overlay):
        if value is None:
            if path not in table:
                return None
            table = {
                table_path: table_value
                for table_path, table_value in table.items()
                if table_path[: len(path)] != path
            }
            continue
        before = table.get(path, value)
        if isinstance(before, dict) != isinstance(value, dict):
            return None
        table[path] = value
    return table


class MergeTest(unittest.TestCase):
    """Test the rules of merging."""

    @PROFILE
    @hypothesis.given(base=TREES, overlay=OVERLAYS)
    def test_same_as_naive_version(self, base, overlay):
        before = copy.deepcopy((base, overlay))
        merged = merging.merge(base=base, overlay=overlay)
        expected = merge_naively(base, overlay)
        self.assertEqual(expected is None, bool(merged.faults))
        if expected is not None:
            self.assertEqual(dict(flatten(merged.tree)), expected)
        self.assertEqual((base, overlay), before)

    def test_values_replace_and_null_deletes(self):
        overlay = {
            'services': {
                'letters': {
                    'checks_fencing': True,
                    'models': {'main': {'versions': ['1', '2']}},
                }
            },
            'teams': {'batch': {'max_concurrency': None}},
        }
        merged = merging.merge(base=samples.BASE, overlay=overlay)
        self.assertEqual(merged.faults, ())
        letters = merged.tree['services']['letters']
        self.assertEqual(letters['models']['main']['versions'], ['1', '2'])
        self.assertEqual(letters['replicas'], 12)
        self.assertEqual(merged.tree['teams']['batch'], {})

    def test_all_faults_at_once(self):
        overlay = {
            'schema_version': True,
            'services': {
                'letters': {
                    'kind': 'application',
                    'operations': {'new': {}, 'draft': {'idempotent': False}},
                    'models': {'other': {}},
                    'replicas': {'a': 1},
                    'retry': None,
                },
                'claims': {'operations': {'pay': None, 'look_up': 5}},
            },
            'teams': {'unheard': {}, 'batch': None},
            'data_centres': {'west': {}},
        }
        merged = merging.merge(base=samples.BASE, overlay=overlay)
        found = {(fault.path, fault.id) for fault in merged.faults}
        letters = 'services.letters'
        expected = {
            ('schema_version', faults.FIXED_FIELD),
            (f'{letters}.kind', faults.FIXED_FIELD),
            (f'{letters}.operations.new', faults.UNKNOWN_NAME),
            (f'{letters}.operations.draft.idempotent', faults.FIXED_FIELD),
            (f'{letters}.models.other', faults.UNKNOWN_NAME),
            (f'{letters}.replicas', faults.MAPPING_MISMATCH),
            (f'{letters}.retry', faults.NOTHING_TO_DELETE),
            ('services.claims.operations.pay', faults.NAME_DELETED),
            ('services.claims.operations.look_up', faults.MAPPING_MISMATCH),
            ('teams.unheard', faults.UNKNOWN_NAME),
            ('teams.batch', faults.NAME_DELETED),
            ('data_centres.west', faults.UNKNOWN_NAME),
        }
        self.assertEqual(found, expected)
        self.assertEqual(merged.tree, samples.BASE)

    def test_fixed_fields_may_be_restated(self):
        overlay = samples.nest('services.letters.kind', 'model_group')
        overlay['schema_version'] = 1
        merged = merging.merge(base=samples.BASE, overlay=overlay)
        self.assertEqual(merged.faults, ())
