"""Test single rules of the rank agent, the driver and the rank engine."""

import unittest

from savoryyoke.groups.switching import agent as agents
from savoryyoke.groups.switching import decisions
from savoryyoke.groups.switching import driver as drivers
from savoryyoke.groups.switching import engines
from savoryyoke.groups.switching import events
from savoryyoke.groups.switching import identities
from tests.groups.switching import world as worlds


def _identify(digest, *, order=1, nonce=1, epoch=1, counter=1):
    token = identities.ChangeToken(
        generation=identities.Generation(counter=counter, nonce=7),
        driver_order=order,
        driver_nonce=nonce,
        epoch=epoch,
    )
    return identities.MapIdentity(digest=digest, token=token)


class RankAgentTest(unittest.TestCase):
    """Test which requests an agent accepts."""

    def setUp(self):
        world = worlds.make_world(ranks=1)
        self.agent = agents.RankAgent(state=world.agents[0])

    def _apply(self, event, now_s=0.0):
        found = self.agent.apply(event, now_s=now_s)
        return [
            decision
            for decision in found
            if not isinstance(decision, decisions.AnswerDriver)
        ]

    def _prepare(self, identity):
        return self._apply(events.PrepareReceived(identity=identity))

    def test_a_request_after_its_abandonment_is_ignored(self):
        change = _identify(1)
        self.assertEqual(
            [], self._apply(events.AbandonReceived(identity=change))
        )
        self.assertEqual([], self._prepare(change))

    def test_an_older_driver_does_not_replace_a_newer_change(self):
        newer = _identify(2, order=2)
        (load,) = self._prepare(newer)
        self.assertEqual(newer, load.identity)
        ended = events.LoadEnded(identity=newer, succeeded=True)
        (offer,) = self._apply(ended)
        self.assertIsInstance(offer, decisions.OfferMap)
        self.assertEqual([], self._prepare(_identify(1, order=1, epoch=9)))

    def test_a_request_of_another_generation_is_ignored(self):
        self.assertEqual([], self._prepare(_identify(1, counter=2)))

    def test_an_offer_ends_after_its_timeout(self):
        change = _identify(1)
        self._prepare(change)
        self._apply(events.LoadEnded(identity=change, succeeded=True))
        (withdraw,) = self._apply(events.TimePassed(), now_s=worlds.LATE_S)
        self.assertEqual(decisions.WithdrawMap(identity=change), withdraw)


class GroupDriverTest(unittest.TestCase):
    """Test how a driver chooses its order and yields to other drivers."""

    def setUp(self):
        self.driver = drivers.GroupDriver(nonce=1, max_concurrent_loads=2)
        self.queries = self._apply(
            events.GroupFormed(generation=worlds.GENERATION, ranks=3)
        )

    def _apply(self, event, now_s=0.0):
        return self.driver.apply(event, now_s=now_s)

    def _answer(self, rank, **fields):
        event = events.AgentAnswered(
            rank=rank,
            generation=worlds.GENERATION,
            driver_nonce=1,
            **fields,
        )
        return self._apply(event)

    def _learn(self):
        for rank in range(3):
            self._answer(rank, newest_token=_identify(1, order=4).token)

    def test_it_queries_all_ranks_before_it_sends_requests(self):
        self.assertEqual(3, len(self.queries))
        self.assertEqual((), self._apply(events.MapProposed(digest=5)))
        self._answer(0)
        self._answer(1, newest_token=_identify(1, order=4).token)
        prepared = self._answer(2)
        self.assertEqual(5, prepared[0].identity.token.driver_order)

    def test_it_limits_the_ranks_that_load_at_once(self):
        self._learn()
        prepared = self._apply(events.MapProposed(digest=5))
        self.assertEqual([0, 1], [decision.rank for decision in prepared])
        change = prepared[0].identity
        (following,) = self._answer(
            1, offered_map=change, newest_token=change.token
        )
        self.assertEqual(2, following.rank)

    def test_it_yields_to_a_newer_driver_and_queries_all_ranks(self):
        self._learn()
        self._apply(events.MapProposed(digest=5))
        newer = _identify(6, order=9, nonce=2).token
        ended, *queries = self._answer(0, newest_token=newer)
        self.assertEqual('superseded by another driver', ended.reason)
        self.assertEqual(3, len(queries))

    def test_it_abandons_a_map_that_a_rank_cannot_load(self):
        self._learn()
        change = self._apply(events.MapProposed(digest=5))[0].identity
        *abandons, ended = self._answer(
            1, failed_map=change, newest_token=change.token
        )
        self.assertEqual(3, len(abandons))
        self.assertFalse(ended.switched)

    def test_it_reports_a_switch_once_a_rank_reports_the_new_map(self):
        self._learn()
        change = self._apply(events.MapProposed(digest=5))[0].identity
        (ended,) = self._answer(2, active=change, newest_token=change.token)
        self.assertTrue(ended.switched)


class RankEngineTest(unittest.TestCase):
    """Test which orders an engine refuses."""

    def test_orders_for_another_generation_are_refused(self):
        world = worlds.make_world(ranks=1)
        engine = engines.RankEngine(state=world.engines[0])
        old = identities.Generation(counter=9, nonce=7)
        (ended,) = engine.load(_identify(1), generation=old)
        self.assertFalse(ended.succeeded)
        self.assertIsNone(engine.state.loading)
        engine.load(_identify(1, counter=9), generation=worlds.GENERATION)
        engine.end_load(succeeded=True)
        engine.offer(_identify(1, counter=9))
        self.assertIsNone(engine.contribute().offer)
