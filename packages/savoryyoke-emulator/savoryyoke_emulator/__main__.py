"""Provide the command ``python -m savoryyoke_emulator FILE... --help``."""

import sys

import fire

from savoryyoke_emulator import emulation
from savoryyoke_emulator import exceptions
from savoryyoke_emulator import experiments
from savoryyoke_emulator import tables


def emulate(*paths, seeds=3, against=()):
    """Run experiments and print a table and the credit of each second.

    ``against`` lists changes to compare with, separated by commas, such as
    ``fleet.engine_requests=4,maps.even=1.2+maps.reaction_s=0.3``.
    """
    changes = against.split(',') if isinstance(against, str) else against
    try:
        loaded_experiments = [experiments.load(path) for path in paths]
        for experiment in loaded_experiments:
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
    credit_lines = {}
    for label, variant in variants.items():
        results = [emulation.play(variant, seed=seed) for seed in range(seeds)]
        summary = tables.average(
            [tables.summarize(result) for result in results]
        )
        print(tables.format_row(label, summary), flush=True)
        if variant.kinds:
            _print_kinds(
                [tables.summarize_kinds(result) for result in results]
            )
        outcomes = [
            outcome for result in results for outcome in result.outcomes
        ]
        credit_lines[label] = tables.format_credit_line(
            outcomes, seconds=variant.seconds
        )
    for label, credit_line in credit_lines.items():
        print(f'{label:32} |{credit_line}|')


def _print_kinds(summaries_by_kind):
    for name in summaries_by_kind[0]:
        summary = tables.average(
            [summaries[name] for summaries in summaries_by_kind]
        )
        print(tables.format_row(f'  {name}', summary), flush=True)


if __name__ == '__main__':
    fire.Fire(emulate)
