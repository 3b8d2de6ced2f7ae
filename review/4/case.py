"""A replica that left is listed by a store that was restored from a copy."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / '1'))

import standins

CONTACT_S = 3.0
DRAIN_S = 2.0
COPY_AGE_S = 4.0
AWAY_S = 0.3
# The page lets a replica serve for DrainMs and "a little longer (at times
# many seconds)" after its entry was removed.
SERVES_ON_S = DRAIN_S + 8.0
PAUSE_S = 0.04


async def case(record, has_trouble, programs):
    hosts = standins.Hosts()
    store = standins.Store(record)
    store.era = 1
    await store.start(hosts.take())
    replicas = []
    for name in ('i-a1', 'i-b2', 'i-c3'):
        replica = standins.Replica(record, name, work_s=0.1)
        await replica.start(hosts.take())
        replicas.append(replica)
        store.write(f'servers/{name}', replica.describe())
    leaving = replicas[-1]
    store.write('op/config', standins.build_configuration())

    entry_hosts = [hosts.take(), hosts.take()]
    peer_port = standins.find_ports(entry_hosts[0], 1)[0]
    seeds = [f'{host}:1' for host in entry_hosts]
    entries = []
    for number, host in enumerate(entry_hosts):
        entry = standins.Entry(
            programs,
            f'edge-{number}',
            host,
            peer_port=peer_port,
            store_address=store.address,
            seeds=seeds,
        )
        entry.start()
        entries.append(entry)
    for entry in entries:
        await entry.wait_ready()

    client = standins.Client(record)
    calls = []

    async def send_all():
        number = 0
        while True:
            entry = entries[number % len(entries)]
            number += 1
            calls.append(
                asyncio.create_task(
                    client.send(
                        entry.front, 'POST', '/pay/1', body=b'amount=10'
                    )
                )
            )
            await asyncio.sleep(PAUSE_S)

    sending = asyncio.create_task(send_all())
    await asyncio.sleep(4.0)
    copy = store.copy()
    await asyncio.sleep(COPY_AGE_S / 2)
    # It never reports that it drains; the store removes its entry.
    store.remove('servers/i-c3')
    removed_s = record.now_s()
    await asyncio.sleep(COPY_AGE_S / 2 - AWAY_S)
    if has_trouble:
        store.go_away()
    await asyncio.sleep(AWAY_S)
    if has_trouble:
        store.come_back(copy)
    await asyncio.sleep(0.7)
    if has_trouble:
        store.cut_watches()
    trouble_end_s = record.now_s()
    await asyncio.sleep(0.1)
    # What was written since the copy is written again.
    store.remove('servers/i-c3')
    await asyncio.sleep(removed_s + SERVES_ON_S - record.now_s())
    leaving.exit()
    await asyncio.sleep(1.0)
    sending.cancel()
    results = await asyncio.gather(*calls)

    in_touch_s = trouble_end_s + CONTACT_S
    sent_s_by_id = {request_id: sent_s for sent_s, request_id, _ in results}
    statuses_by_id = {
        request_id: answer[0] if answer else None
        for _, request_id, answer in results
    }
    return [
        {
            'rule': 'DRAIN',
            'request': request_id,
            'after_removal_s': round(arrived_s - removed_s, 3),
            'after_trouble_s': round(
                sent_s_by_id[request_id] - trouble_end_s, 3
            ),
            'status': statuses_by_id[request_id],
        }
        for arrived_s, request_id in leaving.arrivals
        if arrived_s > removed_s + DRAIN_S
        and sent_s_by_id[request_id] >= in_touch_s
    ]


standins.run_case(case, pathlib.Path(__file__).parent)
