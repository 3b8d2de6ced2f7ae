"""Build small experiments."""

import dataclasses
import pathlib

from savoryyoke_emulator import experiments
from savoryyoke_emulator import models

DIRECTORY = pathlib.Path(__file__).resolve().parent.parent / 'experiments'
QUIET = DIRECTORY / 'claims-quiet.toml'
HEAVY = DIRECTORY / 'claims-heavy.toml'


def build_experiment(*troubles, seconds=8.0, **traffic):
    """Return a short experiment with the engines of claims-quiet.toml."""
    loaded = experiments.load(QUIET)
    return dataclasses.replace(
        loaded,
        seconds=seconds,
        troubles=troubles,
        traffic=dataclasses.replace(loaded.traffic, **traffic),
    )


def build_trouble(kind, **fields):
    """Return a ``Trouble`` of the kind named ``kind``."""
    return models.Trouble(kind=models.TroubleKind(kind), **fields)
