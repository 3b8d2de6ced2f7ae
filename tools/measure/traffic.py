"""Generate seeded calls and connections for measurements of routing."""

import math

import numpy as np

from savoryyoke.routing import conf
from savoryyoke.routing import subsets
from tools.measure import serving_model as model

KINDS = (
    # Kind, share of the calls, priority, time limit of the first token in s.
    ('decision', 0.1, 3, 5.0),
    ('interactive', 0.5, 2, 2.0),
    ('batch', 0.4, 0, 30.0),
)
CLIENTS_PER_TEAM = 4


def make_digests(*, team, conversation):
    """Return the prefix digests of a conversation, shortest first."""
    system_blocks = [b's%d/%d' % (team, block) for block in range(20)]
    conversation_blocks = [
        b'c%d/%d/%d' % (team, conversation, block)
        for block in range(model.CONVERSATION_BLOCKS)
    ]
    return tuple(system_blocks[: model.SYSTEM_BLOCKS] + conversation_blocks)


def schedule_calls(
    world, *, calls_per_s, until_s, teams, conversations, entries, seed
):
    """Schedule Poisson arrivals; lower-numbered teams send more calls."""
    generator = np.random.default_rng(seed)
    weights = 1.0 / np.arange(1, teams + 1)
    weights /= weights.sum()
    count = int(calls_per_s * until_s)
    gaps_s = generator.exponential(1.0 / calls_per_s, count)
    chosen_teams = generator.choice(teams, count, p=weights)
    chosen_kinds = generator.choice(
        len(KINDS), count, p=[share for _, share, _, _ in KINDS]
    )
    tokens = generator.exponential(model.MEAN_TOKENS, count)
    now_s = 0.0
    for number in range(count):
        now_s += gaps_s[number]
        team = int(chosen_teams[number])
        conversation = int(generator.integers(conversations))
        client = conversation % CLIENTS_PER_TEAM
        kind, _, priority, deadline_s = KINDS[chosen_kinds[number]]
        identity = f'{team}/{client}'
        call = model.Call(
            number=number,
            entry=subsets.hash_text(identity) % entries,
            kind=kind,
            priority=priority,
            deadline_s=deadline_s,
            digests=make_digests(team=team, conversation=conversation),
            tokens=math.ceil(min(2000, tokens[number])),
            arrived_s=now_s,
        )
        world.schedule(now_s, world.arrive, call)


def find_subsets(*, entries, targets, data_centres):
    """Return the numbers of the targets that each entry connects to."""
    table = subsets.EntryTable(
        data_centres_by_entry_id={
            f'entry-{number}': f'dc-{number % data_centres}'
            for number in range(entries)
        }
    )
    settings = conf.RoutingSettings()
    count = subsets.count_connected_entries(
        entries=entries, targets=targets, settings=settings
    )
    numbers_by_entry = [set() for _ in range(entries)]
    for number in range(targets):
        entry_ids = table.select_connected_entries(
            target_id=str(number),
            data_centre=f'dc-{number % data_centres}',
            count=count,
            near_share=settings.near_share,
        )
        for entry_id in entry_ids:
            numbers_by_entry[int(entry_id.split('-')[1])].add(number)
    return numbers_by_entry


def make_world(*, policy, entries, targets, data_centres, seed, **arguments):
    """Return a world with a policy for each entry and scheduled reports."""
    world = model.World(
        generator=np.random.default_rng(seed),
        data_centres=data_centres,
        targets_count=targets,
    )
    numbers_by_entry = find_subsets(
        entries=entries, targets=targets, data_centres=data_centres
    )
    world.policies = [
        policy(
            world=world,
            entry=entry,
            entries=entries,
            data_centres=data_centres,
            numbers=numbers_by_entry[entry],
            **arguments,
        )
        for entry in range(entries)
    ]
    world.start_reports()
    return world
