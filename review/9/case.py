"""Change the settings of two entries while they start."""

import asyncio
import signal
import sys
import tempfile
import time

import standins_2 as standins

_RECORD_PATH = 'review/9/record.txt'
_ENTRIES = 2
_CHANGES = 3

# A start takes some 0.4 s here, and longer on a VM with half a core.
_SIGNAL_AFTER_S = 0.2
# The platform starts an ended process again after a short delay.
_RESTART_S = 0.3
_OBSERVED_S = 1.5

# Own ends of a process in a day that make the day count 0, on a tenth of the
# machines, two at least.
_OWN_ENDS_LIMIT = 3
_MACHINES_LIMIT = 2


class Platform:
    """Start an entry whenever it has ended, and count its ends."""

    def __init__(self, *, entry, record):
        self._entry = entry
        self._record = record
        self.own_ends = 0

    async def run(self):
        """Start the entry and keep it running until cancelled."""
        while True:
            self._entry.start()
            self._record.write('started', self._entry.front)
            changing = asyncio.create_task(self._change_settings())
            status = await asyncio.to_thread(self._entry.process.wait)
            await changing
            self.own_ends += 1
            self._record.write(
                'ended by itself', self._entry.front, 'status', status
            )
            await asyncio.sleep(_RESTART_S)

    async def _change_settings(self):
        """Tell the entry that its settings have changed."""
        if not standins.HAS_TROUBLE or self.own_ends >= _CHANGES:
            return
        await asyncio.sleep(_SIGNAL_AFTER_S)
        self._entry.change_settings()
        self._record.write('settings changed, SIGHUP', self._entry.front)
        self._entry.signal(signal.SIGHUP)


async def main():
    """Play the case and return its exit status."""
    record = standins.Record(_RECORD_PATH)
    store = standins.Store()
    await store.start()
    replica = standins.Replica(name='i-0', record=record)
    await replica.start()
    store.write(
        'op/config',
        standins.build_configuration(
            routes=[standins.build_route('/pay/', 'non_idempotent')],
            services=[standins.PLAIN_SERVICE],
        ),
    )
    store.write('servers/i-0', standins.build_entry_of(replica.address))
    network = standins.choose_network()
    with tempfile.TemporaryDirectory() as folder:
        entries = [
            standins.Entry(
                host=f'{network}.{2 + number}',
                store_address=store.address,
                folder=folder,
            )
            for number in range(_ENTRIES)
        ]
        platforms = [Platform(entry=entry, record=record) for entry in entries]
        tasks = [asyncio.create_task(item.run()) for item in platforms]
        began_s = time.monotonic()
        try:
            await asyncio.sleep(_CHANGES * (_SIGNAL_AFTER_S + _RESTART_S))
            await asyncio.sleep(_OBSERVED_S)
            for entry in entries:
                await entry.wait_until_ready()
        except (OSError, TimeoutError) as error:
            record.write('could not run:', error)
            return standins.COULD_NOT_RUN
        finally:
            for task in tasks:
                task.cancel()
            for entry in entries:
                entry.end()
        record.write('played', round(time.monotonic() - began_s, 1), 's')
    return _judge(platforms, record)


def _judge(platforms, record):
    """Return ``BROKEN`` if enough processes have ended by themselves."""
    own_ends = [platform.own_ends for platform in platforms]
    record.write('own ends', own_ends)
    machines = sum(ends >= _OWN_ENDS_LIMIT for ends in own_ends)
    if machines >= _MACHINES_LIMIT:
        record.write('BROKEN:', machines, 'entries ended three times')
        return standins.BROKEN
    return standins.HELD


if __name__ == '__main__':
    sys.exit(asyncio.run(main()))
