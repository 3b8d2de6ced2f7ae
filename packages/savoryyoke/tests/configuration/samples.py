"""A small valid file for tests, and functions to vary it."""

import copy
import json

from savoryyoke.configuration import documents

BASE = {
    'schema_version': 1,
    'data_centres': {
        'north': {'region': 'one'},
        'south': {'region': 'one', 'state': 'out'},
    },
    'services': {
        'letters': {
            'kind': 'model_group',
            'replicas': 12,
            'ranks_per_group': 4,
            'experts_per_layer': 16,
            'expert_layers': 8,
            'models': {'main': {'versions': ['1'], 'default_version': '1'}},
            'operations': {
                'draft': {
                    'method': 'POST',
                    'path': '/drafts',
                    'idempotent': True,
                }
            },
        },
        'claims': {
            'kind': 'application',
            'replicas': 3,
            'operations': {
                'pay': {
                    'method': 'POST',
                    'path': '/payments',
                    'idempotent': False,
                    'timeout_s': 10,
                },
                'look_up': {
                    'method': 'GET',
                    'path': '/claims/{claim_id}',
                    'idempotent': True,
                },
            },
        },
    },
    'teams': {
        'officers': {'weight': 3, 'api_key_name': 'one'},
        'batch': {'max_concurrency': 4},
    },
}


def vary(path, value, *, tree=None):
    """Return a copy of ``tree`` with ``path``, joined by dots, set.

    ``tree`` defaults to ``BASE``.
    """
    changed = copy.deepcopy(BASE if tree is None else tree)
    node = changed
    *parents, last_key = path.split('.')
    for key in parents:
        node = node.setdefault(key, {})
    node[last_key] = value
    return changed


def nest(path, value):
    """Return a tree that contains only ``path``, joined by dots."""
    return vary(path, value, tree={})


def build(base=None, overlay=None):
    """Validate two trees; they are passed as JSON, a subset of YAML.

    ``base`` defaults to ``BASE``.
    """
    base = BASE if base is None else base
    overlay_text = '' if overlay is None else json.dumps(overlay)
    return documents.build(json.dumps(base), overlay_text)
