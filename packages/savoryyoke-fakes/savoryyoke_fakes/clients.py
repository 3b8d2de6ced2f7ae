"""Send requests to the load balancer from a test or a demonstration."""

import dataclasses
import json

import httpcore

CALL_TIMEOUT_S = 20.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """Hold one HTTP response; ``whole`` is false if its body broke off."""

    status: int
    headers_by_name: dict
    body: bytes
    whole: bool = True

    @property
    def document(self):
        """Return the parsed JSON body."""
        return json.loads(self.body)

    @property
    def outcome(self):
        """Return the ``outcome`` of an error response, or None."""
        if self.status < 400:
            return None
        return self.document.get('outcome')


def call(method, address, path, *, body=None, headers=None, timeout_s=None):
    """Send one request on a new connection and return its ``Answer``.

    ``address`` is ``host:port`` and ``body`` becomes JSON. If the body of
    the response breaks off, the answer has ``whole`` set to false.
    """
    content = b'' if body is None else json.dumps(body).encode()
    headers_by_name = {
        'host': address,
        'content-type': 'application/json',
        'content-length': str(len(content)),
        **(headers or {}),
    }
    time_limit_s = timeout_s or CALL_TIMEOUT_S
    timeouts = dict.fromkeys(
        ('connect', 'read', 'write', 'pool'), time_limit_s
    )
    with (
        httpcore.ConnectionPool() as pool,
        pool.stream(
            method,
            f'http://{address}{path}',
            headers=list(headers_by_name.items()),
            content=content,
            extensions={'timeout': timeouts},
        ) as response,
    ):
        return _read_answer(response)


def _read_answer(response):
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
    """Send a team's requests to the entry that the directory assigns."""

    def __init__(self, *, team, entry_addresses):
        self._team = team
        self._headers = {'savoryyoke-team': team}
        self._entry_addresses = list(entry_addresses)
        self.directory = None

    def ask_directory(self):
        """Fetch the directory document from the first entry that returns it.

        Raise ``ConnectionError`` if no entry does.
        """
        for address in self._entry_addresses:
            try:
                answer = call(
                    'GET', address, f'/v1/directory?team={self._team}'
                )
            except (httpcore.NetworkError, httpcore.TimeoutException):
                continue
            if answer.status == 200:
                self.directory = answer.document
                return self.directory
        raise ConnectionError('no entry returned the directory')

    @property
    def address(self):
        """Return the address of the first entry in the directory document."""
        return self.directory['entries'][0]['address']

    def build_key(self, service, suffix):
        """Return an idempotency key for ``service``.

        It consists of the binding from the directory and ``suffix``.
        """
        return f'{self.directory["bindings"][service]}~{suffix}'

    def complete(self, prompt, *, max_tokens, address=None, stream=True):
        """Request a completion."""
        body = {'prompt': prompt, 'max_tokens': max_tokens, 'stream': stream}
        return call(
            'POST',
            address or self.address,
            '/v1/completions',
            body=body,
            headers=self._headers,
        )

    def look_up(self, *, address=None):
        """Request the balance."""
        return call(
            'GET',
            address or self.address,
            '/v1/balance',
            headers=self._headers,
        )

    def pay(self, reference, key, *, address=None, timeout_s=None):
        """Request a payment with an idempotency key."""
        return call(
            'POST',
            address or self.address,
            '/v1/payments',
            body={'reference': reference, 'cents': 100},
            headers={**self._headers, 'idempotency-key': key},
            timeout_s=timeout_s,
        )


def read_tokens(answer):
    """Return the token indexes and whether the stream ended properly.

    A proper end is the event ``[DONE]``.
    """
    indexes = []
    has_ended = False
    for event in answer.body.split(b'\n\n'):
        if event == b'data: [DONE]':
            has_ended = True
        elif event.startswith(b'data: '):
            indexes.append(json.loads(event[6:])['token_index'])
    return indexes, has_ended
