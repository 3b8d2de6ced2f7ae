"""Load the simulated networks of the library's tests."""

import importlib
import pathlib
import sys

PACKAGE = pathlib.Path(__file__).resolve().parents[2] / 'packages/savoryyoke'


def load_test_module(name):
    """Import and return a module of the library's ``tests`` package."""
    if str(PACKAGE) not in sys.path:
        sys.path.insert(0, str(PACKAGE))
    return importlib.import_module(f'tests.{name}')


def percentile(values, share):
    """Return the percentile of values at a share between 0 and 1."""
    ordered = sorted(values)
    index = min(int(share * len(ordered)), len(ordered) - 1)
    return ordered[index]
