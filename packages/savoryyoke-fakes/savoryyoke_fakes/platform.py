"""Simulate the platform: watched values and a delayed list of VMs."""

import anyio
import fire

from savoryyoke_fakes import web


class Platform:
    """Serve published values and the VM list, with faults on demand.

    Tests use the paths under ``/control``; the real platform has none.
    A new VM list takes effect after ``list_lag_s`` seconds.
    """

    def __init__(self, *, list_lag_s):
        self._list_lag_s = list_lag_s
        self._values_by_name = {}
        self._revision = 0
        self._changed = anyio.Event()
        self._sequence = 0
        self._vms = []
        self._down = False
        self._stale = False
        self._first_values_by_name = {}
        self._calls = 0

    async def handle(self, request):
        """Answer one HTTP request by its path."""
        if request.path.startswith('/control/'):
            await self._control(request)
            return
        self._calls += 1
        if self._down:
            await request.send_json({'error': 'down'}, status=503)
        elif request.path.startswith('/v1/values/'):
            await self._read_value(request)
        elif request.path == '/v1/vms':
            await self._read_vms(request)
        else:
            await request.send_json({'error': 'unknown path'}, status=404)

    async def _read_vms(self, request):
        known_sequence = request.query_by_name.get('unless_sequence')
        if known_sequence == str(self._sequence):
            await self._send_unchanged(request)
            return
        await request.send_json({'sequence': self._sequence, 'vms': self._vms})

    async def _send_unchanged(self, request):
        await request.start(304, b'application/json')
        await request.send_part(b'', last=True)

    async def _read_value(self, request):
        name = request.path.removeprefix('/v1/values/')
        after_revision = int(request.query_by_name.get('after', 0))
        wait_s = float(request.query_by_name.get('wait_s', 0))
        with anyio.move_on_after(0 if self._stale else wait_s):
            while self._get_revision(name) <= after_revision:
                await self._changed.wait()
        if self._stale:
            await request.send_json(self._first_values_by_name[name])
            return
        if self._get_revision(name) <= after_revision:
            await self._send_unchanged(request)
            return
        await request.send_json(self._values_by_name[name])

    def _get_revision(self, name):
        value = self._values_by_name.get(name)
        return value['revision'] if value else 0

    async def _control(self, request):
        body = await request.read_json()
        if request.path == '/control/publish':
            self._publish(body['name'], body['text'])
        elif request.path == '/control/vms':
            await anyio.sleep(self._list_lag_s)
            self._sequence += 1
            self._vms = body['vms']
        elif request.path == '/control/faults':
            self._down = bool(body.get('down', self._down))
            self._stale = bool(body.get('stale', self._stale))
        await request.send_json(
            {'revision': self._revision, 'calls': self._calls}
        )

    def _publish(self, name, text):
        self._revision += 1
        self._values_by_name[name] = {
            'revision': self._revision,
            'text': text,
        }
        self._first_values_by_name.setdefault(name, self._values_by_name[name])
        self._changed.set()
        self._changed = anyio.Event()


def run(listen_address='127.0.0.1:0', list_lag_s=0.2):
    """Serve a fake platform; VM lists take effect after ``list_lag_s``."""

    async def main():
        platform = Platform(list_lag_s=float(list_lag_s))
        await web.serve(
            platform.handle, listen_address=listen_address, name='platform'
        )

    anyio.run(main)


if __name__ == '__main__':
    fire.Fire(run)
