"""Read and watch values and the VM list of the platform's service.

This module only reads; it never writes to the service.
"""

import dataclasses
import json

import anyio
import httpcore

from savoryyoke_edge import bodies
from savoryyoke_edge import checked_connections
from savoryyoke_edge import exceptions

ANSWER_LIMIT_BYTES = 1024 * 1024 + 64 * 1024
CALL_TIMEOUT_S = 5.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Value:
    """Hold one value of the configuration service and its revision."""

    name: str
    revision: int
    text: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Vm:
    """Describe one VM of the platform's list."""

    vm_id: str
    role: str
    data_centre: str
    state: str
    address: str
    service: str = ''
    region: str = ''
    control_address: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True)
class VmList:
    """Hold the platform's list of VMs, which may be out of date."""

    sequence: int
    vms: tuple[Vm, ...]


class PlatformReader:
    """Read values and the VM list over HTTP."""

    def __init__(self, *, url, timeout_s=CALL_TIMEOUT_S):
        self._timeout_s = timeout_s
        self._url = url.rstrip('/')
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=8,
            network_backend=checked_connections.CheckingBackend(),
        )

    async def read_value(self, name, *, after_revision=0, wait_s=0.0):
        """Return the value ``name`` if newer than ``after_revision``.

        With ``wait_s``, the service holds the call open until there is a
        newer value (long polling). Return None if there is none. Raise
        ``PlatformUnavailable``.
        """
        path = f'/v1/values/{name}?after={after_revision}&wait_s={wait_s}'
        body = await self._get(path, timeout_s=self._timeout_s + wait_s)
        if body is None:
            return None
        try:
            return Value(
                name=name,
                revision=int(body['revision']),
                text=str(body['text']),
            )
        except (KeyError, TypeError, ValueError) as error:
            raise exceptions.PlatformUnavailable(
                f'value {name} is malformed: {error}'
            ) from error

    async def read_vms(self, *, unless_sequence=None):
        """Return the platform's current ``VmList``.

        Return None if its sequence is ``unless_sequence``: a full list is
        large and changes only a few times an hour. Raise
        ``PlatformUnavailable``.
        """
        path = '/v1/vms'
        if unless_sequence is not None:
            path += f'?unless_sequence={unless_sequence}'
        body = await self._get(path, timeout_s=self._timeout_s)
        if body is None:
            return None
        try:
            rows = tuple(Vm(**row) for row in body['vms'])
            return VmList(sequence=int(body['sequence']), vms=rows)
        except (KeyError, TypeError, ValueError) as error:
            raise exceptions.PlatformUnavailable(
                f'the VM list is malformed: {error}'
            ) from error

    async def _get(self, path, *, timeout_s):
        try:
            with anyio.fail_after(timeout_s):
                async with self._pool.stream(
                    'GET', self._url + path
                ) as response:
                    if response.status == 304:
                        return None
                    body = await bodies.read_limited(
                        response, limit_bytes=ANSWER_LIMIT_BYTES
                    )
        except exceptions.BodyTooLarge as error:
            raise exceptions.PlatformUnavailable(
                'the answer is too large'
            ) from error
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            raise exceptions.PlatformUnavailable(str(error)) from error
        except (TimeoutError, OSError, httpcore.TimeoutException) as error:
            raise exceptions.PlatformUnavailable('timeout') from error
        if response.status != 200:
            raise exceptions.PlatformUnavailable(
                f'the service returned status {response.status}'
            )
        try:
            return json.loads(body)
        except (ValueError, RecursionError) as error:
            raise exceptions.PlatformUnavailable(
                'the answer is not JSON'
            ) from error
