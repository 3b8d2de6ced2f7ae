"""Load the virtual network that the library's tests use."""

import importlib
import pathlib
import sys

PACKAGE = pathlib.Path(__file__).resolve().parents[2] / 'packages/savoryyoke'


def load(name):
    """Return a module below the library's ``tests`` package."""
    if str(PACKAGE) not in sys.path:
        sys.path.insert(0, str(PACKAGE))
    return importlib.import_module(f'tests.{name}')


def percentile(values, share):
    """Return the value that this share of values does not exceed."""
    ordered = sorted(values)
    place = min(int(share * len(ordered)), len(ordered) - 1)
    return ordered[place]
