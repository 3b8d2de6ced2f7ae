"""An evacuation is written again after the store came back from a copy."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / '1'))

import standins

EVACUATE_S = 5.0
CONTACT_S = 3.0
COPY_AGE_S = 4.0
AWAY_S = 0.3
EVACUATED_FOR_S = 16.0
PAUSE_S = 0.04
KEY = 'op/evacuate/zone-b'


async def case(record, has_trouble, programs):
    hosts = standins.Hosts()
    store = standins.Store(record)
    store.era = 1
    await store.start(hosts.take())
    replicas = []
    for name, zone in (
        ('i-a1', 'zone-a'),
        ('i-b2', 'zone-a'),
        ('i-c3', 'zone-b'),
    ):
        replica = standins.Replica(record, name, work_s=0.1)
        await replica.start(hosts.take())
        replicas.append(replica)
        store.write(f'servers/{name}', replica.describe(Zone=zone))
    evacuated = replicas[-1]
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
    store.write(KEY, {})
    evacuated_s = record.now_s()
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
    if has_trouble:
        # What the operator wrote since the copy is written again.
        store.write(KEY, {})
    await asyncio.sleep(evacuated_s + EVACUATED_FOR_S - record.now_s())
    sending.cancel()
    store.remove(KEY)
    taken_back_s = record.now_s()
    await asyncio.sleep(0.5)
    results = await asyncio.gather(*calls)

    sent_s_by_id = {request_id: sent_s for sent_s, request_id, _ in results}
    return [
        {
            'rule': 'EVAC',
            'request': request_id,
            'after_evacuation_s': round(arrived_s - evacuated_s, 3),
            'after_trouble_s': round(arrived_s - trouble_end_s, 3),
        }
        for arrived_s, request_id in evacuated.arrivals
        if evacuated_s + EVACUATE_S < arrived_s < taken_back_s
        and sent_s_by_id[request_id] > trouble_end_s + CONTACT_S
    ]


standins.run_case(case, pathlib.Path(__file__).parent)
