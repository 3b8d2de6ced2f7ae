"""Build routers and events for the tests of routing."""

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
    """Return the event that shows a numbered target."""
    values = {
        'target_id': make_target_id(number),
        'incarnation': 1,
        'data_centre': DATA_CENTRES[number % 3],
        'address': f'10.0.0.{number}:7000',
    }
    values.update(changes)
    return events.TargetSeen(**values)


def make_router(*, targets=12, seed=1, entry='entry-0', entries=8, **settings):
    """Return a router that is connected to targets without any report."""
    routed = router.Router(
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
    routed.apply(
        events.PeersChanged(data_centres_by_entry_id=peers), now_s=0.0
    )
    for number in range(targets):
        routed.apply(make_seen(number), now_s=0.0)
    for target_id in routed.plan_connections().connect:
        routed.apply(events.TargetReachable(target_id=target_id), now_s=0.0)
    return routed


def warm(routed, *, targets=12, now_s=0.0, **changes):
    """Report every target as warm and let it earn full trust."""
    for number in range(targets):
        routed.apply(make_report(number, **changes), now_s=now_s)
        for count in range(changes.get('limit', 16)):
            call_id = f'warm-{number}-{count}'
            dispatch(routed, call_id, make_target_id(number), now_s=now_s)
            finish(routed, call_id, now_s=now_s)


def dispatch(routed, call_id, target_id, *, now_s, **changes):
    """Tell a router that a call was sent; return the decisions."""
    return routed.apply(
        events.Dispatched(call_id=call_id, target_id=target_id, **changes),
        now_s=now_s,
    )


def finish(routed, call_id, *, now_s, latency_s=1.0, token_s=None):
    """Tell a router that a call was answered."""
    first = events.FirstToken(call_id=call_id, latency_s=0.2)
    routed.apply(first, now_s=now_s)
    routed.apply(
        events.Completed(
            call_id=call_id,
            outcome=events.Outcome.ANSWERED,
            latency_s=latency_s,
            token_s=token_s,
        ),
        now_s=now_s,
    )


def choose_many(routed, *, count, request=REQUEST, now_s=0.0):
    """Return how often each target is chosen, without dispatching."""
    chosen = collections.Counter()
    for _ in range(count):
        choice = routed.choose(request, now_s)
        if isinstance(choice, decisions.Chosen):
            chosen[choice.target_id] += 1
    return chosen
