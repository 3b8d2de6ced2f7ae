"""Send requests the way that the platform's callers do."""

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
_REQUEST_NUMBERS = itertools.count(1)


class Caller:
    """Send the requests of one caller over one connection.

    ``get_directories()`` returns the addresses of the directories.
    ``find_incarnation(address)`` returns the name of the entry process that
    serves a caller address.
    """

    def __init__(
        self, *, history, random_source, get_directories, find_incarnation
    ):
        self._history = history
        self._random = random_source
        self._get_directories = get_directories
        self._find_incarnation = find_incarnation
        self._addresses = []
        self._directory_read_s = None
        self._ttl_s = 0.0
        self._pool = httpcore.AsyncConnectionPool(max_connections=1)

    async def run(self, stopped):
        """Send requests one by one until ``stopped`` is set."""
        while not stopped.is_set():
            address = await self._choose_entry()
            if address is not None:
                kind = self._random.choice(list(records.Kind))
                self._history.calls.append(
                    await self._send_request(address, kind)
                )
            await anyio.sleep(
                self._random.expovariate(1) * conf.CALLER_PAUSE_S
            )
        await self._pool.aclose()

    async def send_repeatedly(self, body, *, for_s):
        """Send payments with the same body but different request ids."""
        await self._send_fatal(lambda: (body, ()), for_s=for_s)

    async def send_prompts(self, part, *, for_s):
        """Send payments with different bodies that share a prompt part."""
        numbers = itertools.count(1)

        def build():
            number = str(next(numbers)).encode()
            prompt = ('X-Prompt-Prefix', f'{part.hex()}:40,{number.hex()}:40')
            return part + conf.FATAL_BODY_SEPARATOR + number, [prompt]

        await self._send_fatal(build, for_s=for_s)

    async def _send_fatal(self, build, *, for_s):
        """Send payments with the bodies and headers of ``build()``."""
        kind = records.Kind.PAYMENT
        ends_s = time.monotonic() + for_s
        while time.monotonic() < ends_s:
            address = await self._choose_entry()
            if address is not None:
                body, headers = build()
                call = await self._send_request(
                    address, kind, body=body, headers=headers
                )
                self._history.calls.append(call)
            await anyio.sleep(conf.FATAL_PAUSE_S)
        await self._pool.aclose()

    async def _choose_entry(self):
        now_s = time.monotonic()
        if (
            self._directory_read_s is None
            or now_s - self._directory_read_s > self._ttl_s
        ):
            await self._refresh_directory()
            if self._is_directory_outdated(now_s):
                return None
        return self._random.choice(self._addresses)

    def _is_directory_outdated(self, now_s):
        """Return whether the last directory answer is too old to be used."""
        if self._directory_read_s is None:
            return True
        return (
            now_s - self._directory_read_s
            > conf.DIRECTORY_MAX_AGE_TTLS * self._ttl_s
        )

    async def _refresh_directory(self):
        """Query the directories in random order until one answers.

        Keep the previous answer if none does.
        """
        directories = self._get_directories()
        for address in self._random.sample(directories, len(directories)):
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
                self._directory_read_s = time.monotonic()
                return

    async def _send_request(self, address, kind, *, body=b'', headers=()):
        request_id = f'{kind.value}-{next(_REQUEST_NUMBERS)}'
        incarnation = self._find_incarnation(address)
        sent_s = time.monotonic()
        status, answered_request_id, received = None, None, b''
        is_complete, failure, leaving_id = False, None, None
        try:
            # The caller gives up on a request that is not answered.
            with anyio.fail_after(conf.DEADLINE_S + 3 * conf.MACHINE_DELAY_S):
                async with self._pool.stream(
                    _METHODS_BY_KIND[kind],
                    f'http://{address}/{kind.value}/x',
                    headers=[*_build_headers(request_id, kind), *headers],
                    content=body,
                ) as answer:
                    status = answer.status
                    answered_request_id = _find_header(answer, b'x-request-id')
                    if _find_header(answer, b'server-leaving'):
                        seal = _find_header(answer, b'x-server-seal') or ''
                        leaving_id = seal.removeprefix('seal-')
                    async for data in answer.aiter_stream():
                        received += data
            is_complete = True
        except (TimeoutError, *_FAILURES) as error:
            failure = type(error).__name__
        return records.Call(
            request_id=request_id,
            kind=kind,
            incarnation=incarnation,
            sent_s=sent_s,
            ended_s=time.monotonic(),
            status=status,
            body=received,
            sent_body=body,
            answered_request_id=answered_request_id,
            is_complete=is_complete,
            failure=failure,
            leaving_id=leaving_id,
        )


async def probe(address, version):
    """Return whether an entry has a configuration version in force.

    Return None if the entry does not answer.
    """
    try:
        with anyio.fail_after(conf.MACHINE_DELAY_S):
            async with httpcore.AsyncConnectionPool() as pool:
                answer = await pool.request(
                    'GET',
                    f'http://{address}/version-{version}/x',
                    headers=_build_headers(
                        f'probe-{next(_REQUEST_NUMBERS)}', records.Kind.LOOKUP
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
