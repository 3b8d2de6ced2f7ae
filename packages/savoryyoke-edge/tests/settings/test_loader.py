"""Tests of the loading, checking and rendering of settings."""

import unittest

import pydantic

from savoryyoke_edge.settings import addresses
from savoryyoke_edge.settings import checks
from savoryyoke_edge.settings import exceptions
from savoryyoke_edge.settings import loader
from savoryyoke_edge.settings import schema

ENTRY_FLAGS = {
    'vm_id': 'entry-1',
    'data_centre': 'north',
    'site': 'north',
    'platform_url': 'http://127.0.0.1:9/',
}
TARGET_FLAGS = {
    **ENTRY_FLAGS,
    'service': 'letters',
    'target_id': 'letters-1',
    'backend_url': 'http://127.0.0.1:8000',
    'backend_kind': 'engine',
}


def load_entry(*, environ=None, **flags):
    """Load entry settings from the required flags plus ``flags``."""
    return loader.load(
        schema.EntrySettings,
        flags={**ENTRY_FLAGS, **flags},
        environ=environ or {},
    )


class LoadTest(unittest.TestCase):
    """Test the sources and the parsing of values."""

    def test_flag_overrides_variable(self):
        environ = {
            'SAVORYYOKE_ENTRY_DRAIN_TIMEOUT_S': '7',
            'SAVORYYOKE_ENTRY_HEADER_TIMEOUT_S': '8',
            'SAVORYYOKE_TARGET_NONSENSE': '1',
            'PATH': '/bin',
        }
        settings = load_entry(environ=environ, drain_timeout_s='9')
        self.assertEqual(settings.drain_timeout_s, 9.0)
        self.assertEqual(settings.header_timeout_s, 8.0)
        self.assertEqual(settings.region, 'default')
        self.assertEqual(settings.platform_url, 'http://127.0.0.1:9')

    def test_addresses_are_parsed(self):
        settings = load_entry(listen_address='[::1]:80')
        self.assertEqual(
            settings.listen_address, addresses.Address(host='::1', port=80)
        )
        self.assertEqual(str(settings.listen_address), '[::1]:80')
        self.assertEqual(str(settings.control_address), '127.0.0.1:0')

    def test_settings_are_frozen(self):
        with self.assertRaises(pydantic.ValidationError):
            load_entry().vm_id = 'another'

    def test_target_settings(self):
        settings = loader.load(
            schema.TargetSettings, flags=TARGET_FLAGS, environ={}
        )
        self.assertIs(settings.backend_kind, schema.BackendKind.ENGINE)


class FaultTest(unittest.TestCase):
    """Test that all faults are reported together, each with its source."""

    def assert_fault(self, fault_id, name, *, environ=None, **flags):
        """Assert that ``fault_id`` is the only fault, and return it."""
        with self.assertRaises(exceptions.SettingsError) as caught:
            load_entry(environ=environ, **flags)
        (fault,) = caught.exception.faults
        self.assertEqual((fault.id, fault.name), (fault_id, name))
        self.assertEqual(len(str(fault).splitlines()), 1)
        return fault

    def test_all_faults_at_once(self):
        flags = {**TARGET_FLAGS, 'vm_idd': '1', 'backend_kind': 'disk'}
        del flags['site']
        environ = {'SAVORYYOKE_TARGET_LISTN_ADDRESS': '127.0.0.1:0'}
        with self.assertRaises(exceptions.SettingsError) as caught:
            loader.load(schema.TargetSettings, flags=flags, environ=environ)
        found = {
            (fault.id, fault.source, fault.name)
            for fault in caught.exception.faults
        }
        expected = {
            (checks.UNKNOWN_FLAG, 'flag', '--vm-idd'),
            (
                checks.UNKNOWN_VARIABLE,
                'env',
                'SAVORYYOKE_TARGET_LISTN_ADDRESS',
            ),
            (checks.MISSING, 'settings', '--site'),
            (checks.INVALID, 'flag', '--backend-kind'),
        }
        self.assertEqual(found, expected)

    def test_unknown_names_suggest_the_closest(self):
        fault = self.assert_fault(
            checks.UNKNOWN_FLAG, '--regoin', regoin='south'
        )
        self.assertEqual(fault.hint, 'Did you mean --region')
        name = 'savoryyoke_entry_regoin'
        fault = self.assert_fault(
            checks.UNKNOWN_VARIABLE, name, environ={name: 'south'}
        )
        self.assertEqual(fault.hint, 'Did you mean SAVORYYOKE_ENTRY_REGION')

    def test_invalid_values(self):
        cases = {
            'listen_address': ('localhost:80', '127.0.0.1', '::1:80', ''),
            'control_address': ('127.0.0.1:65536', '127.0.0.1:+1'),
            'advertised_address': ('127.0.0.1:0', '0.0.0.0:80'),
            'platform_url': ('https://127.0.0.1:1', 'http://127.0.0.1:1/a'),
            'drain_timeout_s': ('0', '-1', 'nan', 'inf', '3601', 'soon'),
            'body_limit_bytes': ('0', '1.5', str(2**40)),
            'vm_id': ('', 'a b', 'a\n', 'x' * 64),
            'log_level': ('loud',),
        }
        for field, values in cases.items():
            for value in values:
                with self.subTest(field=field, value=value):
                    name = loader.flag_name(field)
                    self.assert_fault(checks.INVALID, name, **{field: value})

    def test_faults_between_settings(self):
        self.assert_fault(
            checks.NOT_ADVERTISED,
            'advertised_address',
            listen_address='0.0.0.0:80',
        )
        self.assert_fault(
            checks.UNPROTECTED_ADMIN,
            'admin_token',
            admin_address='10.0.0.1:80',
        )


class RenderTest(unittest.TestCase):
    """Test the output of ``--print-settings``."""

    def test_secret_is_masked(self):
        text = loader.render(load_entry(admin_token='hunter2'))
        self.assertIn('\nadmin_token=********\n', text)
        self.assertIn('\nlog_level=info\n', text)
        self.assertNotIn('hunter2', text)
        self.assertNotIn('hunter2', repr(load_entry(admin_token='hunter2')))
