"""Tests of the last accepted configuration."""

import json
import unittest

import hypothesis
from hypothesis import strategies

from savoryyoke.configuration import exceptions
from savoryyoke.configuration import state
from tests.configuration import samples

PROFILE = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=100, database=None
)
INVALID = 'schema_version: 1\n'


def offer(base, overlay, *, valid=True):
    """Return an offer whose content differs by revision."""
    replicas = base * 100 + overlay + 1
    tree = samples.vary('services.claims.replicas', replicas)
    return state.DocumentOffered(
        base_text=json.dumps(tree) if valid else INVALID,
        overlay_text='',
        base_revision=base,
        overlay_revision=overlay,
    )


class ConfigurationStateTest(unittest.TestCase):
    """Test that the state only moves forward and keeps the last good."""

    def setUp(self):
        self.state = state.ConfigurationState()

    def apply(self, *arguments, **options):
        """Apply an offer and return the only decision."""
        event = offer(*arguments, **options)
        (decision,) = self.state.apply(event, now_s=0.0)
        return decision

    def assert_ignored(self, decision, reason):
        """Assert that an offer was ignored for ``reason``."""
        self.assertIsInstance(decision, state.OfferIgnored)
        self.assertIs(decision.reason, reason)

    def test_newer_pairs_are_applied(self):
        for pair in ((1, 1), (1, 2), (2, 2), (5, 9)):
            decision = self.apply(*pair)
            self.assertIsInstance(decision, state.ConfigurationApplied)
            self.assertIs(self.state.applied, decision)
        self.assertEqual(self.state.document, offer(5, 9))

    def test_pairs_that_are_older_in_either_half_are_ignored(self):
        applied = self.apply(3, 3)
        for pair in ((2, 3), (3, 2), (2, 9), (9, 2), (1, 1)):
            decision = self.apply(*pair)
            self.assert_ignored(decision, state.IgnoreReason.OLDER)
        decision = self.apply(3, 3)
        self.assert_ignored(decision, state.IgnoreReason.APPLIED_ALREADY)
        self.assertIs(self.state.applied, applied)

    def test_refused_offer_leaves_the_last_good(self):
        applied = self.apply(1, 1)
        refused = self.apply(2, 1, valid=False)
        self.assertIsInstance(refused, state.ConfigurationRefused)
        self.assertEqual(refused.kept, applied.revision)
        self.assertIs(self.state.applied, applied)
        self.assertIs(self.state.refused, refused)
        decision = self.apply(2, 1, valid=False)
        self.assert_ignored(decision, state.IgnoreReason.REFUSED_ALREADY)
        self.apply(3, 1)
        self.assertIsNone(self.state.refused)

    def test_late_process_may_apply_what_precedes_a_refused_offer(self):
        refused = self.apply(5, 1, valid=False)
        decision = self.apply(4, 1)
        self.assertIsInstance(decision, state.ConfigurationApplied)
        self.assertIs(self.state.refused, refused)

    def test_unknown_event(self):
        with self.assertRaises(exceptions.UnknownEvent):
            self.state.apply('nonsense', now_s=0.0)

    @PROFILE
    @hypothesis.given(data=strategies.data())
    def test_any_order_of_a_history_ends_the_same(self, data):
        history = [(1, 1, True)]
        steps = strategies.tuples(strategies.booleans(), strategies.booleans())
        for grows_base, valid in data.draw(
            strategies.lists(steps, max_size=5)
        ):
            base, overlay, _ = history[-1]
            after = (base + grows_base, overlay + (not grows_base), valid)
            history.append(after)
        order = data.draw(strategies.permutations(history + history))
        fresh = state.ConfigurationState()
        applied = []
        for base, overlay, valid in order:
            event = offer(base, overlay, valid=valid)
            (decision,) = fresh.apply(event, now_s=0.0)
            if isinstance(decision, state.ConfigurationApplied):
                applied.append((base, overlay))
        last_valid = [pair[:2] for pair in history if pair[2]][-1]
        self.assertEqual(applied[-1], last_valid)
        self.assertEqual(applied, sorted(set(applied)))
