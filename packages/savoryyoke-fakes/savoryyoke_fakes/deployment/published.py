"""Build the documents of operators and targets, and request headers."""

import json

HOST = 'api.example'
KEY = 'key-of-fund'
DIRECTORY_PATH = '/savoryyoke/lookup'


def build_route(prefix, kind, **changes):
    """Return a route of the operators' configuration."""
    route = {
        'Name': prefix.strip('/'),
        'Host': HOST,
        'Prefix': prefix,
        'Kind': kind,
        'TimeoutMs': 3000,
        'SloMs': 400,
        'Priority': 1,
        'Service': 'plain',
        'Attempts': 2,
        'Public': False,
    }
    return route | changes


def build_configuration(version=1, **changes):
    """Return an operators' configuration."""
    configuration = {
        'Version': version,
        'Routes': [
            build_route('/lookup/', 'idempotent'),
            build_route('/payment/', 'non_idempotent'),
            build_route('/open/', 'idempotent', Public=True),
            build_route('/draft/', 'streaming', Resumable=True),
            build_route('/once/', 'streaming', Resumable=False),
            build_route('/brief/', 'non_idempotent', TimeoutMs=200),
        ],
        'Services': [{'Name': 'plain', 'MaxConns': 100, 'ColdPerS': 0.0}],
        'Limits': {
            'HeaderBytes': 16384,
            'MaxBodyBytes': 4096,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': 15000,
        },
        'Tenants': [{'Name': 'fund', 'ApiKeys': [KEY], 'Priority': 1}],
    }
    return configuration | changes


def build_target(*, address, **changes):
    """Return the value that a replica publishes in the store."""
    value = {
        'Service': 'plain',
        'Addr': f'{address[0]}:{address[1]}',
        'Zone': 'zone-a',
        'Version': 'v1',
        'Slots': 4,
        'State': 'ready',
        'Seq': 1,
        'ColdLeftMs': 0,
        'born': 1700000000000,
    }
    return value | changes


def build_group(*, rank=0, ranks=1, state='open'):
    """Return the fields that the rank of a group publishes besides."""
    return {
        'Stage': 'mixed',
        'Models': [{'Name': 'm', 'Version': 1, 'Adapters': []}],
        'group': {'Name': 'g', 'epoch': 1, 'rank': rank, 'State': state},
        'size': ranks,
    }


def build_headers(*, request_id, deadline_s, key=KEY):
    """Return request headers; without ``Authorization`` if ``key`` is None."""
    headers = [
        ('Host', HOST),
        ('X-Request-Id', request_id),
        ('X-Deadline-Ms', str(round(1000 * deadline_s))),
    ]
    if key is not None:
        headers.append(('Authorization', f'Bearer {key}'))
    return headers


def read_directory(content):
    """Return the addresses and the TTL (seconds) of a directory response."""
    document = json.loads(content)
    return document['Addrs'], document['TtlS']
