"""Play a day on which another writer's entry stands beside those of a group."""

import asyncio
import os
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins_3 as standins  # noqa: E402

ENTRIES = 2
RANKS = 3
REQUESTS = 60
SERVICE = 'bulletin-writer'
ACCEPT = 'Accept: text/event-stream'
ENGINE = {
    'Slots': 6,
    'KvCapacity': 186000,
    'KvTokenBytes': 192512,
    'LinkMbps': 180000.0,
    'Stride': 5,
    'Models': [{'Name': 'm'}],
    'step_ms': 5.85,
    'per_seq_ms': 0.71,
    'context_per_k': 0.072,
    'read_per_s': 61200.0,
    'pairs_per_m': 0.325,
    'chunk': 512,
    'report_lag_ms': 200.0,
    'usual': {'prompt': 835, 'answer': 139},
    'Sets': 4,
    'Experts': 72,
    'Placements': 30,
    'Spare': 3,
    'ExpertMb': 780.0,
    'ExpertShare': 0.85,
    'form_ms': 600.0,
}


def build_rank_fields(rank, *, state='open'):
    """Return what the entry of a rank has besides."""
    return {
        'Stage': 'mixed',
        'Models': [{'Name': 'm', 'Version': 1, 'Adapters': []}],
        'group': {'Name': 'g-1', 'epoch': 1, 'rank': rank, 'State': state},
        'size': RANKS,
    }


def write_other_entry(store):
    """Write an entry that lacks ``Stage`` and has ``Models`` of another type.

    Nothing listens at its address, and it never changes.
    """
    host = standins.find_free_host()
    fields = build_rank_fields(0, state='broken')
    del fields['Stage']
    fields['Models'] = 'm'
    store.write(
        'servers/x-other',
        {
            'Service': SERVICE,
            'Addr': f'{host}:{standins.find_port_range(host, 1)}',
            'Zone': 'zone-a',
            'Version': 'v1',
            'Slots': 6,
            'State': 'ready',
            'ColdLeftMs': 0,
            'Seq': 1,
            'born': int(time.time() * 1000),
            **fields,
        },
        is_leased=False,
    )


async def call_twice(client, entry, number):
    """Send a draft; if it is refused, send it once more when told to."""
    outcome = await call(client, entry, number)
    if outcome.status == 503 and 'retry-after' in outcome.headers:
        await asyncio.sleep(float(outcome.headers['retry-after']))
        outcome = await call(client, entry, number)
    return outcome.status == 200


async def call(client, entry, number):
    return await client.call(
        entry,
        f'/bulletin/{number}',
        method='POST',
        body=b'prompt',
        deadline_s=8.0,
        headers_sent=[ACCEPT],
    )


async def play(record, temporary, trouble):
    store = standins.Store(record)
    await store.start()
    ranks = [
        standins.Replica(
            replica_id=f'i-rank-{rank}',
            store=store,
            record=record,
            service=SERVICE,
            slots=6,
            entry_fields=build_rank_fields(rank),
        )
        for rank in range(RANKS)
    ]
    for rank in ranks:
        await rank.start()
    route = standins.build_route(
        '/bulletin/',
        'streaming',
        Service=SERVICE,
        Resumable=True,
        TimeoutMs=8000,
        GapTargetMs=120,
        Sticky=True,
    )
    service = {
        'Name': SERVICE,
        'HealthPath': '/healthz',
        'MaxConns': 418,
        'ColdS': 3.0,
        'ColdPerS': 36.0,
        'Engine': ENGINE,
    }
    store.write(
        'op/config',
        standins.build_configuration(5, [route], Services=[service]),
    )
    tasks = [asyncio.create_task(step.run()) for step in (store, *ranks)]
    await asyncio.sleep(0.1)
    if trouble:
        write_other_entry(store)
    entries = [
        standins.Entry(number=number, store=store, folder=temporary)
        for number in range(1, ENTRIES + 1)
    ]
    peer_port = standins.find_port_range('127.0.0.1', 16)
    client = standins.Client(record)
    try:
        for entry in entries:
            entry.write_settings(
                seeds=[other.host for other in entries], peer_port=peer_port
            )
            entry.start()
        for entry in entries:
            if not await standins.wait_until(entry.is_ready):
                return None
        await asyncio.sleep(5.0)
        calls = []
        for number in range(REQUESTS):
            calls.append(
                asyncio.create_task(
                    call_twice(client, random.choice(entries), number)
                )
            )
            await asyncio.sleep(0.3)
        served = sum(await asyncio.gather(*calls))
    finally:
        standins.ignore_cancelled_connections()
        for task in tasks:
            task.cancel()
        for entry in entries:
            entry.end()
    text = f'{served} of {REQUESTS} requests served'
    record.write(text)
    print(text)
    return served > 0


if __name__ == '__main__':
    # With TROUBLE=0 the same is played without the disruption.
    standins.main(
        play, FOLDER, trouble=os.environ.get('TROUBLE', '1') != '0'
    )
