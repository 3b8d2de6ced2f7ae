"""A replica's entry changes and is removed while an entry is frozen."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / '1'))

import standins

CONTACT_S = 3.0
DRAIN_S = 2.0
FREEZE_S = 1.5
# The page lets a replica serve for DrainMs and "a little longer (at times
# many seconds)" after its entry was removed.
SERVES_ON_S = DRAIN_S + 5.0
PAUSE_S = 0.04


async def case(record, has_trouble, programs):
    hosts = standins.Hosts()
    store = standins.Store(record)
    await store.start(hosts.take())
    replicas = []
    for name in ('i-a1', 'i-b2', 'i-c3'):
        replica = standins.Replica(record, name, work_s=0.1)
        await replica.start(hosts.take())
        replicas.append(replica)
        store.write(f'servers/{name}', replica.describe())
    other, _, leaving = replicas
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

    async def send_all(entry):
        while True:
            calls.append(
                asyncio.create_task(
                    client.send(
                        entry.front, 'POST', '/pay/1', body=b'amount=10'
                    )
                )
            )
            await asyncio.sleep(2 * PAUSE_S)

    sending = [asyncio.create_task(send_all(entry)) for entry in entries]
    await asyncio.sleep(4.0)
    # Any change of the store's contents makes both entries watch anew.
    store.write('servers/i-b2', replicas[1].describe(Seq=2, ColdLeftMs=100))
    await asyncio.sleep(0.3)
    if has_trouble:
        programs.signal('edge-0', signal.SIGSTOP)
    await asyncio.sleep(0.2)
    # Two replicas become cold again, and one of these leaves. It never
    # reports that it drains; the store removes its entry.
    store.write('servers/i-a1', other.describe(Seq=2, ColdLeftMs=900))
    await asyncio.sleep(0.3)
    store.write('servers/i-c3', leaving.describe(Seq=2, ColdLeftMs=900))
    await asyncio.sleep(0.4)
    store.remove('servers/i-c3')
    removed_s = record.now_s()
    await asyncio.sleep(FREEZE_S - 0.9)
    if has_trouble:
        programs.signal('edge-0', signal.SIGCONT)
    in_touch_s = record.now_s() + CONTACT_S
    await asyncio.sleep(removed_s + SERVES_ON_S - record.now_s())
    leaving.exit()
    await asyncio.sleep(1.0)
    for task in sending:
        task.cancel()
    results = await asyncio.gather(*calls)

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
            'in_touch_for_s': round(sent_s_by_id[request_id] - in_touch_s, 3),
            'status': statuses_by_id[request_id],
        }
        for arrived_s, request_id in leaving.arrivals
        if arrived_s > removed_s + DRAIN_S
        and sent_s_by_id[request_id] >= in_touch_s
    ]


standins.run_case(case, pathlib.Path(__file__).parent)
