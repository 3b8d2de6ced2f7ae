"""Call the admin address of a running daemon."""

import os

import httpcore

from savoryyoke_edge.command_line import exceptions
from savoryyoke_edge.command_line import results
from savoryyoke_edge.settings import addresses

TIMEOUT_S = 5.0
ANSWER_LIMIT_BYTES = 16 * 1024 * 1024
TOKEN_VARIABLE = 'SAVORYYOKE_ADMIN_TOKEN'


def call(method, address_text, path):
    """Return the body of the daemon's answer.

    The token in ``SAVORYYOKE_ADMIN_TOKEN`` is sent if it is set. Raise
    ``CommandError`` if the daemon cannot be reached or refuses.
    """
    address = _parse_address(address_text)
    timeouts = {
        name: TIMEOUT_S for name in ('connect', 'read', 'write', 'pool')
    }
    try:
        with httpcore.ConnectionPool() as pool:
            with pool.stream(
                method,
                f'http://{address}{path}',
                headers=_build_headers(),
                extensions={'timeout': timeouts},
            ) as response:
                body = _read_body(response)
    except (
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
        OSError,
    ) as error:
        raise exceptions.CommandError(
            problem=f'{address}: {error or "no answer in time"}; is it the'
            ' admin address of a running daemon?',
            status=results.ExitStatus.UNREACHABLE,
        ) from None
    _check_status(response.status, body, address)
    return body


def _parse_address(text):
    try:
        return addresses.parse_peer_address(text)
    except ValueError as error:
        raise exceptions.CommandError(
            problem=f'{text!r} {error}; give the admin address as IP:PORT'
        ) from None


def _build_headers():
    token = os.environ.get(TOKEN_VARIABLE)
    if not token:
        return {}
    return {'Authorization': f'Bearer {token}'}


def _read_body(response):
    body = bytearray()
    for part in response.iter_stream():
        body += part
        if len(body) > ANSWER_LIMIT_BYTES:
            raise exceptions.CommandError(
                problem='the answer is too large',
                status=results.ExitStatus.REFUSED,
            )
    return bytes(body)


def _check_status(status, body, address):
    if 200 <= status < 300:
        return
    reason = ' '.join(body[:200].decode('utf-8', 'replace').split())
    hint = ''
    if status in (401, 403):
        hint = f'; set {TOKEN_VARIABLE} to the admin token of the daemon'
    raise exceptions.CommandError(
        problem=f'{address}: refused with {status}: {reason}{hint}',
        status=results.ExitStatus.REFUSED,
    )
