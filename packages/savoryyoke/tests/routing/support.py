"""Provide routers and events for the tests of routing."""

import collections

import numpy as np

from savoryyoke.routing import conf
from savoryyoke.routing import decisions
from savoryyoke.routing import events
from savoryyoke.routing import router

DATA_CENTRES = ('north', 'south', 'west')
REQUEST = decisions.Request(service='letters')


def make_target_id(number):
    """Return the id of a numbered target."""
    return f'target-{number}'


def make_report(number, **changes):
    """Return a load report of a warm, idle target."""
    values = {
        'target_id': make_target_id(number),
        'incarnation': 1,
        'stamp_s': 100.0,
        'running': 0,
        'queued': 0,
        'limit': 16,
        'estimated_wait_s': 0.0,
        'cold': False,
    }
    values.update(changes)
    return events.LoadReported(**values)


def make_seen(number, **changes):
    """Return a `TargetSeen` event of a numbered target."""
    values = {
        'target_id': make_target_id(number),
        'incarnation': 1,
        'data_centre': DATA_CENTRES[number % 3],
        'address': f'10.0.0.{number}:7000',
    }
    values.update(changes)
    return events.TargetSeen(**values)


def make_router(*, targets=12, seed=1, entry='entry-0', entries=8, **settings):
    """Return a router connected to targets that have not reported."""
    request_router = router.Router(
        service='letters',
        entry_id=entry,
        data_centre=DATA_CENTRES[0],
        generator=np.random.default_rng(seed),
        settings=conf.RoutingSettings(**settings),
    )
    peers = {
        f'entry-{number}': DATA_CENTRES[number % 3]
        for number in range(entries)
    }
    request_router.apply(
        events.PeersChanged(data_centres_by_entry_id=peers), now_s=0.0
    )
    for number in range(targets):
        request_router.apply(make_seen(number), now_s=0.0)
    for target_id in request_router.plan_connections().connect:
        request_router.apply(
            events.TargetReachable(target_id=target_id), now_s=0.0
        )
    return request_router


def warm(request_router, *, targets=12, now_s=0.0, **changes):
    """Report every target as warm and end its slow start by calls."""
    for number in range(targets):
        request_router.apply(make_report(number, **changes), now_s=now_s)
        for count in range(changes.get('limit', 16)):
            call_id = f'warm-{number}-{count}'
            dispatch(
                request_router, call_id, make_target_id(number), now_s=now_s
            )
            finish(request_router, call_id, now_s=now_s)


def dispatch(request_router, call_id, target_id, *, now_s, **changes):
    """Apply the event of a sent call; return the decisions."""
    return request_router.apply(
        events.Dispatched(call_id=call_id, target_id=target_id, **changes),
        now_s=now_s,
    )


def finish(request_router, call_id, *, now_s, latency_s=1.0, token_s=None):
    """Apply the events of an answered call."""
    first = events.FirstToken(call_id=call_id, latency_s=0.2)
    request_router.apply(first, now_s=now_s)
    request_router.apply(
        events.Completed(
            call_id=call_id,
            outcome=events.Outcome.ANSWERED,
            latency_s=latency_s,
            token_s=token_s,
        ),
        now_s=now_s,
    )


def choose_many(request_router, *, count, request=REQUEST, now_s=0.0):
    """Return how often each target is chosen; send no calls."""
    chosen = collections.Counter()
    for _ in range(count):
        choice = request_router.choose(request, now_s)
        if isinstance(choice, decisions.Chosen):
            chosen[choice.target_id] += 1
    return chosen
