"""Command line: ``python -m savoryyoke_emulator FILE... --help``."""

import sys

import fire

from savoryyoke_emulator import emulation
from savoryyoke_emulator import exceptions
from savoryyoke_emulator import experiments
from savoryyoke_emulator import tables


def emulate(*paths, seeds=3, against=()):
    """Play experiments and print a table and the credit of each second.

    ``against`` holds changes to compare with, parted by commas, such as
    ``fleet.engine_requests=4,maps.even=1.2+maps.reaction_s=0.3``.
    """
    changes = against.split(',') if isinstance(against, str) else against
    try:
        loaded = [experiments.load(path) for path in paths]
        for experiment in loaded:
            _compare(experiment, changes, seeds)
    except exceptions.InvalidExperiment as error:
        print(error, file=sys.stderr)
        sys.exit(2)


def _compare(experiment, changes, seeds):
    print(f'{experiment.name}: {experiment.seconds:.0f} s, {seeds} seeds')
    print(tables.format_head())
    variants = {'as it is': experiment}
    for text in changes:
        variants[text] = experiments.change(experiment, text)
    lines = {}
    for label, variant in variants.items():
        results = [emulation.play(variant, seed=x) for x in range(seeds)]
        summary = tables.average([tables.summarize(x) for x in results])
        print(tables.format_row(label, summary), flush=True)
        outcomes = [x for result in results for x in result.outcomes]
        lines[label] = tables.draw_credit(outcomes, seconds=variant.seconds)
    for label, line in lines.items():
        print(f'{label:32} |{line}|')


if __name__ == '__main__':
    fire.Fire(emulate)
