"""Test the answers of the directory of entries to callers."""

import types
import unittest

from savoryyoke.membership import messages as membership_messages
from savoryyoke_edge import problems
from savoryyoke_entry import directories

DATA_CENTRE = 'dc-a'
LIFETIME_S = 2.0
SCOPE = {'query_string': b'', 'client': ('127.0.0.1', 40000)}


class _Fleet:
    """Count targets as the entry's links do."""

    expected_target_count = 5

    def __init__(self):
        self.in_contact_count = 0

    def count_targets_in_contact(self, silence_s):
        return self.in_contact_count


def build_membership():
    """Return a membership that contains only the entry itself."""
    return types.SimpleNamespace(
        members=lambda: (),
        record=types.SimpleNamespace(
            incarnation=1, state=membership_messages.MemberState.ALIVE
        ),
        is_suspect=False,
    )


class TargetContactTests(unittest.TestCase):
    """Test which targets in contact an answer takes into account."""

    def setUp(self):
        self.fleet = _Fleet()
        self.directory = directories.EntryDirectory(
            settings=types.SimpleNamespace(
                vm_id='e1',
                data_centre=DATA_CENTRE,
                address_lifetime_s=LIFETIME_S,
            ),
            clock=lambda: 100.0,
            fleet=self.fleet,
        )
        vm = types.SimpleNamespace(
            vm_id='e1',
            role='entry',
            state='live',
            data_centre=DATA_CENTRE,
            address='127.0.0.1:7200',
        )
        self.directory.apply_vm_list(types.SimpleNamespace(vms=(vm,)))
        self.directory.apply_membership(build_membership())

    def ask(self):
        return self.directory.build_answer(
            SCOPE, team='', may_serve=lambda entry_id: True, bindings={}
        )

    def test_entry_without_targets_is_cut_off(self):
        self.assertIsInstance(self.ask(), problems.Problem)

    def test_entry_answers_as_soon_as_targets_are_in_contact(self):
        self.fleet.in_contact_count = 5
        self.assertEqual(
            [{'address': '127.0.0.1:7200', 'data_centre': DATA_CENTRE}],
            self.ask()['entries'],
        )
