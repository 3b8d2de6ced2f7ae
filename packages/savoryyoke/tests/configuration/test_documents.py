"""Tests of the validation of a whole file."""

import json
import unittest

import pydantic

from savoryyoke.configuration import conf
from savoryyoke.configuration import documents
from savoryyoke.configuration import faults
from tests.configuration import samples

CLAIMS = 'services.claims'
LETTERS = 'services.letters'
# If this digest changes, so does the meaning of schema version 1, and two
# releases that run side by side would treat the same file differently.
BASE_DIGEST = '9679593f1288e5e881b18c575a5c803a'


class AcceptTest(unittest.TestCase):
    """Test accepted files and their digests."""

    def test_defaults_and_types(self):
        configuration = samples.build().configuration
        pay = configuration.services_by_name['claims'].operations_by_name[
            'pay'
        ]
        self.assertFalse(pay.idempotent)
        self.assertEqual(pay.timeout_s, 10.0)
        self.assertEqual(pay.priority, conf.OPERATION_PRIORITY)
        self.assertIsNone(configuration.teams_by_name['batch'].tokens_per_s)

    def test_configuration_is_frozen(self):
        configuration = samples.build().configuration
        with self.assertRaises(pydantic.ValidationError):
            configuration.schema_version = 2
        with self.assertRaises(TypeError):
            configuration.teams_by_name['new'] = None

    def test_digest_depends_only_on_the_configuration(self):
        accepted = samples.build()
        reordered = json.dumps(samples.BASE, sort_keys=True, indent=3)
        self.assertEqual(accepted, documents.build(reordered, '# none\n'))
        restated = samples.vary(f'{CLAIMS}.operations.pay.timeout_s', 10.0)
        restated['services']['claims']['checks_fencing'] = False
        self.assertEqual(accepted, samples.build(restated))
        overlay = samples.nest('teams.batch.weight', 2)
        changed = samples.build(samples.vary('teams.batch.weight', 2))
        self.assertEqual(samples.build(overlay=overlay), changed)
        self.assertNotEqual(changed.digest, accepted.digest)

    def test_meaning_of_version_1_is_unchanged(self):
        self.assertEqual(samples.build().digest, BASE_DIGEST)


class RefuseTest(unittest.TestCase):
    """Test that each fault is reported with its path."""

    def assert_refused(self, outcome, *expected):
        """Assert that ``outcome`` has exactly the expected faults."""
        self.assertIsInstance(outcome, documents.Refused)
        found = {(fault.id, fault.path) for fault in outcome.faults}
        self.assertEqual(found, set(expected))

    def test_single_faults(self):
        pay = f'{CLAIMS}.operations.pay'
        cases = (
            ('schema_version', 2, faults.UNKNOWN_VERSION),
            ('schema_version', True, faults.INVALID),
            ('schema_version', 1.0, faults.INVALID),
            ('teams', {}, faults.INVALID),
            ('teams', [], faults.INVALID),
            ('teams.batch', None, faults.INVALID),
            ('teams.a b', {}, faults.INVALID),
            ('data_centres.north.state', 'off', faults.INVALID),
            ('data_centres.north.stat', 'in', faults.UNKNOWN_FIELD),
            (f'{CLAIMS}.kind', 'other', faults.INVALID),
            (f'{CLAIMS}.replicas', True, faults.INVALID),
            (f'{CLAIMS}.replicas', '3', faults.INVALID),
            (f'{CLAIMS}.replicas', 0, faults.INVALID),
            (f'{CLAIMS}.ranks_per_group', 4, faults.UNKNOWN_FIELD),
            (f'{pay}.idempotent', 'no', faults.INVALID),
            (f'{pay}.timeout_s', 0, faults.INVALID),
            (f'{pay}.timeout_s', float('inf'), faults.INVALID),
            (f'{pay}.path', '/a b', faults.INVALID),
            (f'{pay}.path', '/payments/', faults.INVALID),
            (f'{pay}.priority', conf.PRIORITY_HIGHEST + 1, faults.INVALID),
            (f'{CLAIMS}.retry.budget_ratio', 1.1, faults.INVALID),
            (
                f'{CLAIMS}.warm_up.initial_concurrency',
                conf.ADMISSION_MAX_CONCURRENCY + 1,
                faults.INITIAL_ABOVE_MAXIMUM,
            ),
            ('data_centres.north.state', 'out', faults.ALL_DATA_CENTRES_OUT),
            ('teams.batch.api_key_name', 'one', faults.SHARED_API_KEY),
            (
                f'{LETTERS}.models.main.default_version',
                '2',
                faults.UNKNOWN_DEFAULT,
            ),
        )
        for path, value, fault_id in cases:
            with self.subTest(path=path, value=value):
                outcome = samples.build(samples.vary(path, value))
                fault_path = (
                    'data_centres'
                    if fault_id == faults.ALL_DATA_CENTRES_OUT
                    else path
                )
                fault_path = (
                    "teams.'a b'" if path == 'teams.a b' else fault_path
                )
                self.assert_refused(outcome, (fault_id, fault_path))

    def test_missing_fields(self):
        operation = {'method': 'GET', 'path': '/x'}
        base = samples.vary(f'{CLAIMS}.operations.new', operation)
        fault_path = f'{CLAIMS}.operations.new.idempotent'
        self.assert_refused(samples.build(base), (faults.MISSING, fault_path))
        fault_path = f'{CLAIMS}.kind'
        base = samples.vary(CLAIMS, {'replicas': 3})
        self.assert_refused(samples.build(base), (faults.MISSING, fault_path))

    def test_overlapping_routes(self):
        fault_path = f'{CLAIMS}.operations.pay.path'
        cases = {'/drafts': True, '/{any}': True, '/drafts/{any}': False}
        for path, overlaps in cases.items():
            with self.subTest(path=path):
                outcome = samples.build(samples.vary(fault_path, path))
                if overlaps:
                    self.assert_refused(
                        outcome, (faults.ROUTE_OVERLAP, fault_path)
                    )
                else:
                    self.assertIsInstance(outcome, documents.Accepted)

    def test_faults_of_all_kinds_at_once(self):
        base = samples.vary('teams.batch.api_key_name', 'one')
        base['teams']['third'] = {'weight': -1}
        base['services']['letters']['replicas'] = 0
        base['services']['claims']['operations']['pay']['path'] = '/claims/x'
        base['services']['claims']['operations']['pay']['method'] = 'GET'
        base['data_centres']['north'] = {'state': 'out'}
        overlay = {'teams': {'unheard': {}, 'officers': {'weight': 0}}}
        outcome = samples.build(base, overlay)
        self.assert_refused(
            outcome,
            (faults.UNKNOWN_NAME, 'teams.unheard'),
            (faults.INVALID, 'teams.third.weight'),
            (faults.INVALID, 'teams.officers.weight'),
            (faults.INVALID, f'{LETTERS}.replicas'),
            (faults.MISSING, 'data_centres.north.region'),
            (faults.ROUTE_OVERLAP, f'{CLAIMS}.operations.look_up.path'),
        )
        sources = {fault.path: fault.source.value for fault in outcome.faults}
        self.assertEqual(sources['teams.officers.weight'], 'overlay')
        self.assertEqual(sources['teams.third.weight'], 'base')

    def test_both_texts_are_parsed(self):
        outcome = documents.build('a: 1\na: 2\n', 'b: *x\n')
        found = [fault.source.value for fault in outcome.faults]
        self.assertEqual(found, ['base', 'overlay'])

    def test_unknown_field_suggests_the_closest(self):
        outcome = samples.build(samples.vary('teams.batch.wieght', 1))
        self.assertEqual(outcome.faults[0].hint, 'Did you mean weight')

    def test_the_number_of_faults_is_bounded(self):
        base = samples.vary('teams', {f't{i}': 5 for i in range(500)})
        outcome = samples.build(base)
        self.assertEqual(len(outcome.faults), conf.FAULTS_LIMIT + 1)
        self.assertEqual(outcome.faults[-1].id, faults.MORE_FAULTS)
        self.assertIn('400', outcome.faults[-1].problem)
