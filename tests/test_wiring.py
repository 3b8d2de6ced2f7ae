"""Test that each part of the library is run, or known not to be."""

import pathlib
import re
import unittest

import grimp

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / 'docs' / 'decisions' / 'platform.md'
PROGRAMS = ('savoryyoke_platform.entry', 'savoryyoke_platform.agent')
PACKAGES = (
    'savoryyoke',
    'savoryyoke_agent',
    'savoryyoke_edge',
    'savoryyoke_gateway',
    'savoryyoke_platform',
    'savoryyoke_wire',
)
_ROW = re.compile(r'^\| `(savoryyoke\.[\w.]+)` \|', re.MULTILINE)


def find_parts_not_run():
    """Return the packages and aggregates that no program imports."""
    graph = grimp.build_graph(*PACKAGES, cache_dir=None)
    run = set()
    for program in PROGRAMS:
        run |= graph.find_upstream_modules(program)
    modules = {x for x in graph.modules if x.startswith('savoryyoke.')}
    # An ``__init__`` holds no decisions, so its import runs nothing.
    leaves = {x for x in modules if not graph.find_children(x)}
    packages = {x.rpartition('.')[0] for x in leaves} - {'savoryyoke'}
    not_run = {
        package
        for package in packages
        if not any(x in run for x in leaves if x.rpartition('.')[0] == package)
    }
    aggregates = {x for x in leaves if x.endswith('.aggregates')}
    return not_run | (aggregates - run)


class WiringTest(unittest.TestCase):
    def test_what_the_programs_do_not_run_is_listed_with_a_reason(self):
        listed = set(_ROW.findall(PAGE.read_text()))
        self.assertEqual(listed, find_parts_not_run())


if __name__ == '__main__':
    unittest.main()
