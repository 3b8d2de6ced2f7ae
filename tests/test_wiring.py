"""Test that library parts which no program imports are documented."""

import pathlib
import re
import unittest

import grimp

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / 'docs' / 'decisions' / 'platform.md'
PROGRAMS = ('savoryyoke_platform.entry_process', 'savoryyoke_platform.agent')
PACKAGES = (
    'savoryyoke',
    'savoryyoke_agent',
    'savoryyoke_edge',
    'savoryyoke_gateway',
    'savoryyoke_platform',
    'savoryyoke_wire',
)
_ROW = re.compile(r'^\| `(savoryyoke\.[\w.]+)` \|', re.MULTILINE)


def find_unused_parts():
    """Return the packages and aggregates modules that no program imports."""
    graph = grimp.build_graph(*PACKAGES, cache_dir=None)
    imported = set()
    for program in PROGRAMS:
        imported |= graph.find_upstream_modules(program)
    modules = {
        module for module in graph.modules if module.startswith('savoryyoke.')
    }
    # An ``__init__`` module has no logic, so only leaf modules count.
    leaves = {module for module in modules if not graph.find_children(module)}
    packages = {module.rpartition('.')[0] for module in leaves} - {
        'savoryyoke'
    }
    not_run = {
        package
        for package in packages
        if not any(
            module in imported
            for module in leaves
            if module.rpartition('.')[0] == package
        )
    }
    aggregates = {
        module for module in leaves if module.endswith('.aggregates')
    }
    return not_run | (aggregates - imported)


class WiringTest(unittest.TestCase):
    """Compare the unused parts with the table in the documentation."""

    def test_unused_parts_are_listed_with_a_reason(self):
        documented = set(_ROW.findall(PAGE.read_text()))
        self.assertEqual(documented, find_unused_parts())


if __name__ == '__main__':
    unittest.main()
