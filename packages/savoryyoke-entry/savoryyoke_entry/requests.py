"""Read and validate the HTTP requests of callers."""

import dataclasses
import json
import urllib.parse

import anyio
import xxhash

from savoryyoke.configuration import routes
from savoryyoke_edge import problems
from savoryyoke_entry import conf
from savoryyoke_entry import exceptions
from savoryyoke_wire import messages


@dataclasses.dataclass(frozen=True, kw_only=True)
class Request:
    """Hold one validated request of a caller.

    ``arrived_s`` and ``deadline_s`` are monotonic times, and ``cost`` is the
    largest number of tokens to generate, 1 without a limit in the request.
    """

    route: routes.Route
    team_name: str
    team_weight: float
    priority: int
    method: str
    path: str
    headers: tuple[messages.Header, ...]
    body: bytes
    key: str
    fingerprint: bytes
    arrived_s: float
    deadline_s: float
    streamed: bool
    cost: float
    prefix_digests: tuple[bytes, ...]

    @property
    def idempotent(self):
        """Return whether the operation may be repeated."""
        return self.route.operation.idempotent


def refuse(name, detail='', **fields):
    """Raise ``RequestRefused`` with the ``Problem`` called ``name``."""
    raise exceptions.RequestRefused(
        problem=problems.Problem(name=name, detail=detail, **fields)
    )


async def read_request(
    scope, receive, *, route_table, teams, limit_bytes, now_s
):
    """Return the validated ``Request`` of an ASGI scope.

    ``route_table`` is a ``routes.RouteTable``, ``teams`` maps names to teams
    and ``now_s`` is a monotonic time. Raise ``RequestRefused`` or
    ``CallerGone``.
    """
    headers_by_name = _read_headers(scope)
    route = route_table.find(method=scope['method'], path=scope['path'])
    if isinstance(route, routes.NoRoute):
        refuse('unknown-operation', 'no operation has this method and path')
    team_name = headers_by_name.get(conf.TEAM_HEADER, '')
    team = teams.get(team_name)
    if team is None:
        refuse('unknown-team', f'set the header {conf.TEAM_HEADER}')
    timeout_s = _read_timeout(headers_by_name, route.operation.timeout_s)
    body = await read_body(receive, limit_bytes=limit_bytes)
    document = _parse_document(body) if route.operation.idempotent else {}
    path = _build_path(scope)
    return Request(
        route=route,
        team_name=team_name,
        team_weight=team.weight,
        priority=min(route.operation.priority, team.priority_ceiling),
        method=scope['method'],
        path=path,
        headers=_select_headers(scope),
        body=body,
        key=headers_by_name.get(conf.KEY_HEADER, ''),
        fingerprint=_compute_fingerprint(
            team_name, route.service_name, scope['method'], path, body
        ),
        arrived_s=now_s,
        deadline_s=now_s + timeout_s,
        streamed=document.get('stream') is True,
        cost=_estimate_cost(document),
        prefix_digests=_compute_digests(document),
    )


def read_team_name(scope):
    """Return the team that a directory request names, or ''."""
    query = urllib.parse.parse_qs(scope['query_string'].decode('latin-1'))
    return query.get(conf.TEAM_PARAMETER, [''])[0]


async def read_body(receive, *, limit_bytes):
    """Return the whole body.

    Raise ``RequestRefused`` for a body that is too large or too slow, and
    ``CallerGone``.
    """
    body = bytearray()
    try:
        with anyio.fail_after(conf.BODY_TIMEOUT_S):
            while True:
                message = await receive()
                if message['type'] == 'http.disconnect':
                    raise exceptions.CallerGone
                body += message.get('body', b'')
                if len(body) > limit_bytes:
                    refuse('body-too-large', f'limit: {limit_bytes} bytes')
                if not message.get('more_body'):
                    return bytes(body)
    except TimeoutError:
        refuse('request-timeout', 'the body did not arrive in time')


def _read_headers(scope):
    if len(scope['headers']) > conf.HEADER_COUNT_LIMIT:
        refuse('malformed-request', f'over {conf.HEADER_COUNT_LIMIT} headers')
    headers_by_name = {}
    for name, value in scope['headers']:
        if len(value) > conf.HEADER_VALUE_LIMIT_CHARACTERS:
            refuse('malformed-request', 'a header is too long')
        text = name.decode('latin-1')
        if text == conf.KEY_HEADER and text in headers_by_name:
            refuse('malformed-request', 'two idempotency keys')
        headers_by_name[text] = value.decode('latin-1')
    return headers_by_name


def _select_headers(scope):
    excluded_names = {
        conf.TIMEOUT_HEADER,
        'connection',
        'content-length',
        'host',
    }
    pairs = (
        (name.decode('latin-1'), value.decode('latin-1'))
        for name, value in scope['headers']
    )
    return tuple(
        messages.Header(name=name, value=value)
        for name, value in pairs
        if name not in excluded_names
    )


def _read_timeout(headers_by_name, limit_s):
    text = headers_by_name.get(conf.TIMEOUT_HEADER)
    if text is None:
        return limit_s
    try:
        timeout_s = float(text)
    except ValueError:
        timeout_s = -1.0
    if not 0 < timeout_s < float('inf'):
        refuse('malformed-request', f'{conf.TIMEOUT_HEADER} is not a time')
    return min(timeout_s, limit_s)


def _build_path(scope):
    path = scope['raw_path'].decode('latin-1')
    query = scope['query_string'].decode('latin-1')
    if query:
        path = f'{path}?{query}'
    if len(path) > conf.PATH_LIMIT_CHARACTERS:
        refuse('malformed-request', 'the path is too long')
    return path


def _parse_document(body):
    """Return the object of a JSON body, or {} for any other body."""
    if not body.startswith(b'{'):
        return {}
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        return {}
    return document if isinstance(document, dict) else {}


def _estimate_cost(document):
    count = document.get('max_tokens')
    if isinstance(count, int) and count > 0:
        return float(min(count, conf.COST_LIMIT_TOKENS))
    return 1.0


def _compute_digests(document):
    """Return the digests of the prompt's prefixes, shortest first."""
    prompt = document.get('prompt') or document.get('messages')
    if not prompt:
        return ()
    text = prompt if isinstance(prompt, str) else json.dumps(prompt)
    hasher = xxhash.xxh3_64()
    digests = []
    limit_characters = conf.PREFIX_BLOCK_CHARACTERS * conf.PREFIX_LIMIT_BLOCKS
    stop = min(len(text), limit_characters) - conf.PREFIX_BLOCK_CHARACTERS + 1
    for start in range(0, stop, conf.PREFIX_BLOCK_CHARACTERS):
        block = text[start : start + conf.PREFIX_BLOCK_CHARACTERS]
        hasher.update(block.encode('utf-8', 'surrogatepass'))
        digests.append(hasher.digest())
    return tuple(digests)


def _compute_fingerprint(team, service, method, path, body):
    hasher = xxhash.xxh3_128()
    for part in (team, service, method, path):
        hasher.update(part.encode('utf-8', 'surrogatepass') + b'\0')
    hasher.update(body)
    return hasher.digest()
