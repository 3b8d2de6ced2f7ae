"""Call the system as a caller does, from a test or a demonstration."""

import dataclasses
import json

import httpcore

CALL_TIMEOUT_S = 20.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """Hold one HTTP answer."""

    status: int
    headers_by_name: dict
    body: bytes
    whole: bool = True

    @property
    def document(self):
        """Return the body as JSON."""
        return json.loads(self.body)

    @property
    def outcome(self):
        """Return what a problem says of the run, or None."""
        if self.status < 400:
            return None
        return self.document.get('outcome')


def call(method, address, path, *, body=None, headers=None, timeout_s=None):
    """Send one request on a connection of its own and return its answer.

    An answer that breaks off comes back with ``whole`` false.
    """
    content = b'' if body is None else json.dumps(body).encode()
    fields = {
        'host': address,
        'content-type': 'application/json',
        'content-length': str(len(content)),
        **(headers or {}),
    }
    limit_s = timeout_s or CALL_TIMEOUT_S
    timeouts = dict.fromkeys(('connect', 'read', 'write', 'pool'), limit_s)
    with (
        httpcore.ConnectionPool() as pool,
        pool.stream(
            method,
            f'http://{address}{path}',
            headers=list(fields.items()),
            content=content,
            extensions={'timeout': timeouts},
        ) as response,
    ):
        return _read(response)


def _read(response):
    parts = []
    whole = True
    try:
        parts.extend(response.iter_stream())
    except (httpcore.ProtocolError, httpcore.NetworkError):
        whole = False
    return Answer(
        status=response.status,
        headers_by_name={
            name.decode().lower(): value.decode()
            for name, value in response.headers
        },
        body=b''.join(parts),
        whole=whole,
    )


class Client:
    """Hold a team's answer from the directory and use it."""

    def __init__(self, *, team, entry_addresses):
        self._team = team
        self._headers = {'savoryyoke-team': team}
        self._known_addresses = list(entry_addresses)
        self.directory = None

    def ask_directory(self):
        """Ask the known entries in turn which to use."""
        for address in self._known_addresses:
            try:
                answer = call(
                    'GET', address, f'/v1/directory?team={self._team}'
                )
            except (httpcore.NetworkError, httpcore.TimeoutException):
                continue
            if answer.status == 200:
                self.directory = answer.document
                return self.directory
        raise ConnectionError('no entry answers')

    @property
    def address(self):
        """Return the address of the entry to use."""
        return self.directory['entries'][0]['address']

    def build_key(self, service, suffix):
        """Return an idempotency key bound by the directory's answer."""
        return f'{self.directory["bindings"][service]}~{suffix}'

    def complete(self, prompt, *, max_tokens, address=None, stream=True):
        """Ask for a completion."""
        body = {'prompt': prompt, 'max_tokens': max_tokens, 'stream': stream}
        return call(
            'POST',
            address or self.address,
            '/v1/completions',
            body=body,
            headers=self._headers,
        )

    def look_up(self, *, address=None):
        """Look a balance up."""
        return call(
            'GET',
            address or self.address,
            '/v1/balance',
            headers=self._headers,
        )

    def pay(self, reference, key, *, address=None, timeout_s=None):
        """Ask for a payment under an idempotency key."""
        return call(
            'POST',
            address or self.address,
            '/v1/payments',
            body={'reference': reference, 'cents': 100},
            headers={**self._headers, 'idempotency-key': key},
            timeout_s=timeout_s,
        )


def read_tokens(answer):
    """Return the token numbers and whether the stream ended explicitly."""
    indexes = []
    ended = False
    for event in answer.body.split(b'\n\n'):
        if event == b'data: [DONE]':
            ended = True
        elif event.startswith(b'data: '):
            indexes.append(json.loads(event[6:])['token_index'])
    return indexes, ended
