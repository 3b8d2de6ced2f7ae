"""Simulate an application service that counts payments and lookups."""

import collections
import dataclasses

import anyio
import fire

from savoryyoke_fakes import web


@dataclasses.dataclass
class Faults:
    """Hold the faults that a test can switch on.

    While ``hang`` is true, payments are counted but never answered. Each
    payment counts as ``runs_per_payment`` runs.
    """

    payment_s: float = 0.005
    hang: bool = False
    runs_per_payment: int = 1


class Application:
    """Count the runs of each payment and answer balance lookups."""

    def __init__(self, *, faults):
        self._faults = faults
        self._runs_by_reference = collections.Counter()
        self._lookups = 0

    async def handle(self, request):
        """Answer one HTTP request by its path."""
        if request.path == '/v1/payments' and request.method == 'POST':
            await self._pay(request)
        elif request.path == '/v1/balance':
            self._lookups += 1
            await request.send_json({'balance_cents': 12345})
        elif request.path == '/control/runs':
            await request.send_json(dict(self._runs_by_reference))
        elif request.path == '/control/started':
            started_count = self._lookups + self._runs_by_reference.total()
            await request.send_json({'started': started_count})
        elif request.path == '/control/faults':
            changes = await request.read_json()
            self._faults = dataclasses.replace(self._faults, **changes)
            await request.send_json({})
        else:
            await request.send_json({'error': 'unknown path'}, status=404)

    async def _pay(self, request):
        body = await request.read_json()
        reference = str(body.get('reference', ''))
        self._runs_by_reference[reference] += int(
            self._faults.runs_per_payment
        )
        run_count = self._runs_by_reference[reference]
        if self._faults.hang:
            await anyio.sleep_forever()
        await anyio.sleep(self._faults.payment_s)
        await request.send_json({'paid': reference, 'run': run_count})


def run(listen_address='127.0.0.1:0', payment_s=0.005):
    """Serve a fake application; a payment takes ``payment_s`` seconds."""
    application = Application(faults=Faults(payment_s=float(payment_s)))
    web.run(
        application.handle, listen_address=listen_address, name='application'
    )


if __name__ == '__main__':
    fire.Fire(run)
