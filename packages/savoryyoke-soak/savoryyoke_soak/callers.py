"""Send requests as the platform's callers do."""

import itertools
import time

import anyio
import httpcore

from savoryyoke_fakes.deployment import published

from savoryyoke_soak import conf
from savoryyoke_soak import records

_METHODS_BY_KIND = {
    records.Kind.LOOKUP: b'GET',
    records.Kind.PAYMENT: b'POST',
    records.Kind.DRAFT: b'POST',
}
_FAILURES = (
    OSError,
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)
_NUMBERS = itertools.count(1)


class Caller:
    """Own one caller's connection and the answers of the directory.

    ``directories()`` returns addresses of directories, ``find_life(address)``
    the run of the entry that serves a callers' address.
    """

    def __init__(self, *, history, source, directories, find_life):
        self._history = history
        self._source = source
        self._directories = directories
        self._find_life = find_life
        self._addresses = []
        self._asked_s = None
        self._ttl_s = 0.0
        self._pool = httpcore.AsyncConnectionPool(max_connections=1)

    async def run(self, stopped):
        """Send requests one by one until ``stopped`` is set."""
        while not stopped.is_set():
            address = await self._choose_entry()
            if address is not None:
                kind = self._source.choice(list(records.Kind))
                self._history.calls.append(await self._call(address, kind))
            await anyio.sleep(
                self._source.expovariate(1) * conf.CALLER_PAUSE_S
            )
        await self._pool.aclose()

    async def repeat(self, body, *, for_s):
        """Send payments with the same body, each with an id of its own."""
        kind = records.Kind.PAYMENT
        ends_s = time.monotonic() + for_s
        while time.monotonic() < ends_s:
            address = await self._choose_entry()
            if address is not None:
                call = await self._call(address, kind, body=body)
                self._history.calls.append(call)
            await anyio.sleep(conf.FATAL_PAUSE_S)
        await self._pool.aclose()

    async def _choose_entry(self):
        now_s = time.monotonic()
        if self._asked_s is None or now_s - self._asked_s > self._ttl_s:
            await self._ask_directory()
            if self._is_too_old(now_s):
                return None
        return self._source.choice(self._addresses)

    def _is_too_old(self, now_s):
        """Tell whether the last answer must not be used any longer."""
        if self._asked_s is None:
            return True
        return now_s - self._asked_s > conf.DIRECTORY_KEPT_TIMES * self._ttl_s

    async def _ask_directory(self):
        """Ask the entries in turn; keep the old answer if none answers."""
        asked = self._directories()
        for address in self._source.sample(asked, len(asked)):
            try:
                with anyio.fail_after(0.5):
                    async with httpcore.AsyncConnectionPool() as pool:
                        answer = await pool.request(
                            'GET',
                            f'http://{address}{published.DIRECTORY_PATH}',
                        )
            except (TimeoutError, *_FAILURES):
                continue
            if answer.status == 200:
                self._addresses, self._ttl_s = published.read_directory(
                    answer.content
                )
                self._asked_s = time.monotonic()
                return

    async def _call(self, address, kind, *, body=b''):
        request_id = f'{kind.value}-{next(_NUMBERS)}'
        life = self._find_life(address)
        sent_s = time.monotonic()
        status, answered_id, received = None, None, b''
        is_whole, broken, leaving_id = False, None, None
        try:
            # A caller that gets nothing leaves in the end.
            with anyio.fail_after(conf.DEADLINE_S + 3 * conf.BUSY_S):
                async with self._pool.stream(
                    _METHODS_BY_KIND[kind],
                    f'http://{address}/{kind.value}/x',
                    headers=_build_headers(request_id, kind),
                    content=body,
                ) as answer:
                    status = answer.status
                    answered_id = _find_header(answer, b'x-request-id')
                    if _find_header(answer, b'server-leaving'):
                        seal = _find_header(answer, b'x-server-seal') or ''
                        leaving_id = seal.removeprefix('seal-')
                    async for part in answer.aiter_stream():
                        received += part
            is_whole = True
        except (TimeoutError, *_FAILURES) as error:
            broken = type(error).__name__
        return records.Call(
            request_id=request_id,
            kind=kind,
            life=life,
            sent_s=sent_s,
            ended_s=time.monotonic(),
            status=status,
            body=received,
            sent_body=body,
            answered_id=answered_id,
            is_whole=is_whole,
            broken=broken,
            leaving_id=leaving_id,
        )


async def probe(address, version):
    """Return whether an entry has a version in force; None if unknown."""
    try:
        with anyio.fail_after(conf.BUSY_S):
            async with httpcore.AsyncConnectionPool() as pool:
                answer = await pool.request(
                    'GET',
                    f'http://{address}/version-{version}/x',
                    headers=_build_headers(
                        f'probe-{next(_NUMBERS)}', records.Kind.LOOKUP
                    ),
                )
    except (TimeoutError, *_FAILURES):
        return None
    return answer.status != 404


def _build_headers(request_id, kind):
    headers = published.build_headers(
        request_id=request_id, deadline_s=conf.DEADLINE_S
    )
    if kind is records.Kind.DRAFT:
        headers.append(('Accept', 'text/event-stream'))
    return headers


def _find_header(answer, name):
    for key, value in answer.headers:
        if key.lower() == name:
            return value.decode('latin-1')
    return None
