"""Measure the cost of validating the operators' file by its size.

Prints one line for each size: bytes of the text, median and largest processor
time of one validation in milliseconds, and the memory of the accepted
configuration in bytes. Then prints one line for each hostile text.
"""

import gc
import statistics
import time
import tracemalloc

import yaml

from savoryyoke.configuration import conf
from savoryyoke.configuration import documents

ROUNDS = 15
TEAMS_COUNTS = (10, 550, 1100, 2200)
SERVICES_COUNT = 12
DATA_CENTRES_COUNT = 6

HOSTILE_TEXTS_BY_NAME = {
    'one_key_again_and_again': 'a: 1\n' * (conf.TEXT_LIMIT_BYTES // 5),
    'nested_lists': '- ' * (conf.TEXT_LIMIT_BYTES // 2),
    'open_brackets': '[' * conf.TEXT_LIMIT_BYTES,
    'long_list': 'a: [' + 'b,' * (conf.TEXT_LIMIT_BYTES // 2 - 4) + ']',
    'anchors': 'a: &a b\n' * (conf.TEXT_LIMIT_BYTES // 8),
    'empty_teams': 'schema_version: 1\nteams:\n'
    + ''.join(f' t{number}: 5\n' for number in range(80_000)),
}


def build_text(teams_count):
    """Return the text of a base with ``teams_count`` teams."""
    services = {
        f'service-{number}': _build_service(number)
        for number in range(SERVICES_COUNT)
    }
    teams = {
        f'team-{number:05}': _build_team() for number in range(teams_count)
    }
    data_centres = {
        f'data-centre-{number}': {'region': f'region-{number % 2}'}
        for number in range(DATA_CENTRES_COUNT)
    }
    tree = {
        'schema_version': 1,
        'data_centres': data_centres,
        'services': services,
        'teams': teams,
    }
    return yaml.safe_dump(tree, sort_keys=False)


def _build_service(number):
    operation = {
        'method': 'POST',
        'path': f'/v1/service-{number}/calls',
        'idempotent': number % 2 == 0,
    }
    return {
        'kind': 'application',
        'replicas': 3,
        'operations': {'call': operation},
    }


def _build_team():
    return {
        'weight': 2,
        'requests_per_s': 40,
        'tokens_per_s': 4000,
        'max_concurrency': 30,
        'priority_ceiling': 2,
    }


def measure_times(action):
    """Return the processor times of ``ROUNDS`` runs, in milliseconds."""
    times_ms = []
    for _ in range(ROUNDS):
        started_s = time.process_time()
        action()
        times_ms.append((time.process_time() - started_s) * 1000)
    return times_ms


def measure_memory(text):
    """Return the memory of the configuration in ``text``, in bytes."""
    gc.collect()
    tracemalloc.start()
    configuration = documents.build(text)
    gc.collect()
    size_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del configuration
    return size_bytes


def main():
    """Print one line for each size and each hostile text."""
    for teams_count in TEAMS_COUNTS:
        text = build_text(teams_count)
        times_ms = measure_times(lambda text=text: documents.build(text))
        print(
            f'teams={teams_count} text_bytes={len(text)}'
            f' median_ms={statistics.median(times_ms):.1f}'
            f' largest_ms={max(times_ms):.1f}'
            f' held_bytes={measure_memory(text)}'
        )
    for name, text in HOSTILE_TEXTS_BY_NAME.items():
        times_ms = measure_times(lambda text=text: documents.build(text))
        print(
            f'hostile={name} text_bytes={len(text)}'
            f' median_ms={statistics.median(times_ms):.1f}'
            f' largest_ms={max(times_ms):.1f}'
        )


if __name__ == '__main__':
    main()
