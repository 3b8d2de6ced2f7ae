"""Test rollouts of versions, roles and adapters over targets."""

import dataclasses
import random
import unittest

from savoryyoke.groups.orders import conf
from savoryyoke.groups.orders import messages
from savoryyoke.groups.orders import placement

_TARGETS = 12
_VIEW_DELAY_TICKS = 4


class _Fleet:
    """Simulate targets that decide alone, with delayed views of peers."""

    def __init__(self, *, seed, broken=(), store_refuses_until_s=0.0):
        self.views_by_id = {
            f't{number}': placement.TargetView(
                target_id=f't{number}', version='v1', former_version='v1'
            )
            for number in range(_TARGETS)
        }
        self._history = [dict(self.views_by_id)]
        self._generator = random.Random(seed)
        self._broken = broken
        self._store_refuses_until_s = store_refuses_until_s
        self.tried_orders = set()
        self.min_serving = _TARGETS

    def run(self, declaration, *, ticks=400, start_s=0.0):
        for tick in range(ticks):
            now_s = start_s + tick
            for target_id in self.views_by_id:
                if self._generator.random() < 0.7:
                    self._decide(declaration, target_id, now_s)
            self._history.append(dict(self.views_by_id))
            serving = sum(
                view.version is not None and not view.draining
                for view in self.views_by_id.values()
            )
            self.min_serving = min(self.min_serving, serving)

    def _decide(self, declaration, target_id, now_s):
        own = self.views_by_id[target_id]
        delay = self._generator.randrange(_VIEW_DELAY_TICKS)
        views = self._history[max(0, len(self._history) - 1 - delay)]
        peers = {
            peer_id: views[peer_id]
            for peer_id in views
            if peer_id != target_id
        }
        decision = placement.decide_placement(
            declaration, own, peers, now_s=now_s
        )
        changes = self._apply_decision(own, decision, now_s)
        self.views_by_id[target_id] = dataclasses.replace(own, **changes)

    def _apply_decision(self, own, decision, now_s):
        if isinstance(decision, placement.StartDrain):
            return {'draining': True, 'in_flight': 3}
        if isinstance(decision, placement.EndDrain):
            return {'draining': False, 'in_flight': 0}
        if isinstance(decision, placement.SendOrder):
            return self._load(own, decision.content, now_s)
        return {'in_flight': max(0, own.in_flight - 1)}

    def _load(self, own, content, now_s):
        self.tried_orders.add((own.target_id, content))
        if isinstance(content, messages.ChangeRole):
            return {'role': content.role}
        if isinstance(content, messages.LoadAdapter):
            pair = (content.adapter, content.version)
            return {'adapters': own.adapters + (pair,)}
        store_refuses = now_s < self._store_refuses_until_s
        if store_refuses or content.version in self._broken:
            previous = own.failure
            attempts = previous.attempts if previous else 0
            failure = placement.LoadFailure(
                content=content,
                attempts=attempts + 1,
                last_s=now_s,
                store_refused=store_refuses,
            )
            return {'version': None, 'failure': failure}
        return {'version': content.version, 'former_version': own.version}

    def count(self, version):
        views = self.views_by_id.values()
        return sum(view.version == version for view in views)


class RolloutTest(unittest.TestCase):
    """Rollouts with seeds 0 to 4 and views of peers up to 3 ticks old."""

    def _declare(self, version, **options):
        return placement.Declaration(
            revision=1, model='m', version=version, **options
        )

    def test_a_rollout_respects_the_limit_of_unavailable_targets(self):
        for seed in range(5):
            for max_unavailable in (1, 3):
                with self.subTest(seed=seed, max_unavailable=max_unavailable):
                    fleet = _Fleet(seed=seed)
                    fleet.run(
                        self._declare('v2', max_unavailable=max_unavailable)
                    )
                    self.assertEqual(_TARGETS, fleet.count('v2'))
                    self.assertGreaterEqual(
                        fleet.min_serving, _TARGETS - max_unavailable
                    )

    def test_a_version_that_never_loads_stops_at_the_first_targets(self):
        for seed in range(5):
            with self.subTest(seed=seed):
                fleet = _Fleet(seed=seed, broken=('v2',))
                fleet.run(self._declare('v2', max_unavailable=2))
                content = messages.LoadVersion(model='m', version='v2')
                target_ids = {
                    target_id
                    for target_id, tried_content in fleet.tried_orders
                    if tried_content == content
                }
                self.assertEqual(2, len(target_ids))
                self.assertEqual(_TARGETS, fleet.count('v1'))
                views = fleet.views_by_id.values()
                self.assertFalse(any(view.draining for view in views))

    def test_a_rollback_respects_the_limit_too(self):
        fleet = _Fleet(seed=0)
        fleet.run(self._declare('v2'), ticks=30)
        self.assertGreater(fleet.count('v2'), 0)
        fleet.run(self._declare('v1'), start_s=30.0)
        self.assertEqual(_TARGETS, fleet.count('v1'))
        self.assertGreaterEqual(fleet.min_serving, _TARGETS - 2)

    def test_a_refusing_store_delays_but_does_not_end_a_rollout(self):
        fleet = _Fleet(seed=0, store_refuses_until_s=200.0)
        fleet.run(self._declare('v2'), ticks=1500)
        self.assertEqual(_TARGETS, fleet.count('v2'))
        self.assertGreaterEqual(fleet.min_serving, _TARGETS - 1)
        attempts = max(
            view.failure.attempts
            for view in fleet.views_by_id.values()
            if view.failure
        )
        self.assertGreater(attempts, conf.LOAD_ATTEMPTS_MAX)

    def test_roles_and_adapters_are_assigned(self):
        fleet = _Fleet(seed=0)
        declaration = self._declare(
            'v1',
            roles=(('prefill', 4), ('decode', 0)),
            adapters=(('legal', '3'),),
        )
        fleet.run(declaration)
        roles = [view.role for view in fleet.views_by_id.values()]
        self.assertEqual(4, roles.count('prefill'))
        self.assertEqual(8, roles.count('decode'))
        for view in fleet.views_by_id.values():
            self.assertEqual((('legal', '3'),), view.adapters)
