"""Compare choices with a simple reference scorer on small cases."""

import unittest

import hypothesis
from hypothesis import strategies

from savoryyoke.routing import decisions
from savoryyoke.routing import events
from tests.routing import support

PROMPT = tuple(bytes([number]) for number in range(10))
SETTINGS = {
    # Enough samples to include every target; ties are not randomised.
    'random_candidates': 200,
    'near_equal_s': 0.0,
    'near_equal_ratio': 0.0,
    'affinity_steps': 0,
    # Warm-up has its own tests.
    'warm_up_shares': (0.0, 0.0, 0.0, 0.0),
}

TARGET = strategies.fixed_dictionaries(
    {
        'running': strategies.integers(0, 20),
        'queued': strategies.integers(0, 10),
        'limit': strategies.integers(0, 16),
        'wait_ms': strategies.integers(0, 900),
        'cold': strategies.booleans(),
        'kv_percent': strategies.integers(0, 100),
        'sent': strategies.integers(0, 4),
        'matched': strategies.integers(0, 10),
        'usable': strategies.booleans(),
    }
)


def score_naively(target, *, number, priority, ignore_slow_start):
    """Return the score of a target by its definition, None if full."""
    limit, cold = target['limit'], target['cold']
    load = target['running'] + target['queued'] + target['sent']
    if not target['usable'] or limit == 0:
        return None
    bound = 1.0 if cold else (1.0, 1.5, 2.0, 3.0)[priority]
    if load + 1 > bound * limit:
        return None
    # With a single entry, its share of a cold target's limit is the whole
    # limit. Warm targets are in slow start: no answer has arrived yet.
    quota = limit if cold else max(1, 2 * target['running'])
    if target['sent'] >= quota and (cold or not ignore_slow_start):
        return None
    excess = max(0.0, min(load + 1 - limit, target['sent'] + 1))
    score = target['wait_ms'] / 1000 + excess * 2.0 / limit
    score += 0.0 if number % 3 == 0 else 0.002
    score += 0.2 * (1 + load / limit) + (0.05 if cold else 0.0)
    score += max(0.0, 1 - target['kv_percent'] / 10) * 0.3
    return score - min(0.3, 0.005 * target['matched'])


class DifferentialTest(unittest.TestCase):
    """Compare the router with the definition of the score."""

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
    @hypothesis.given(
        targets=strategies.lists(TARGET, min_size=1, max_size=6),
        priority=strategies.integers(0, 3),
    )
    def test_choice_is_the_best_of_all(self, targets, priority):
        """Choose the lowest score, or refuse where none has room."""
        request_router = support.make_router(
            targets=len(targets), entries=1, **SETTINGS
        )
        for number, target in enumerate(targets):
            self.set_up(request_router, number, target)
        request = decisions.Request(
            service='letters', prefix_digests=PROMPT, priority=priority
        )
        choice = request_router.choose(request, 0.0)
        scores = self.score_all(
            targets, priority=priority, ignore_slow_start=False
        )
        if not scores:
            scores = self.score_all(
                targets, priority=priority, ignore_slow_start=True
            )
        if not scores:
            self.assertIsInstance(choice, decisions.NoTarget)
            self.assertGreater(choice.retry_after_s, 0.0)
            return
        self.assertIsInstance(choice, decisions.Chosen)
        self.assertAlmostEqual(
            min(scores.values()), scores[choice.target_id], places=9
        )

    def score_all(self, targets, **arguments):
        """Return the scores of the targets that have room, by id."""
        scores = {}
        for number, target in enumerate(targets):
            score = score_naively(target, number=number, **arguments)
            if score is not None:
                scores[support.make_target_id(number)] = score
        return scores

    def set_up(self, request_router, number, target):
        """Apply the events that give a target its generated state."""
        target_id = support.make_target_id(number)
        report = support.make_report(
            number,
            running=target['running'],
            queued=target['queued'],
            limit=target['limit'],
            estimated_wait_s=target['wait_ms'] / 1000,
            cold=target['cold'],
            kv_free_ratio=target['kv_percent'] / 100,
        )
        request_router.apply(report, now_s=0.0)
        cached = events.CacheEventSeen(
            target_id=target_id,
            incarnation=1,
            sequence=1,
            added=PROMPT[: target['matched']],
        )
        request_router.apply(cached, now_s=0.0)
        for count in range(target['sent']):
            support.dispatch(
                request_router, f'{target_id}/{count}', target_id, now_s=0.0
            )
        if not target['usable']:
            leaving = events.TargetLeaving(target_id=target_id, incarnation=1)
            request_router.apply(leaving, now_s=0.0)
