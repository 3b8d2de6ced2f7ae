"""Test what follows when targets say that they leave or want a pause."""

from savoryyoke.placement import conf
from savoryyoke.placement import events
from savoryyoke.placement import models
from savoryyoke.placement import notices

from tests.placement import test_dispatcher

build_target = test_dispatcher.build_target
_Reason = models.RefusalReason
# The users' pages: no more than two requests in a pause, the first half
# second left out.
PAUSE_GRACE_S = 0.5
STEP_S = 0.01


class NoticesCase(test_dispatcher.DispatcherCase):
    def leave(self, target, now_s=0.0):
        return self.apply(events.TargetLeaving(target=target), now_s)

    def pause(self, target, pause_s, now_s=0.0):
        event = events.TargetPaused(target=target, pause_s=pause_s)
        return self.apply(event, now_s)

    def arrive_often(self, count, now_s=0.0):
        """Place requests that end at once; return the targets' ids."""
        chosen = []
        for number in range(count):
            made = self.arrive(f'often-{now_s}-{number}', now_s)
            for target_id in self.placed(made).values():
                chosen.append(target_id)
                self.end(target_id, now_s)
        return chosen


class LeavingTests(NoticesCase):
    def test_gets_nothing_more(self):
        self.leave(build_target(1))
        self.assertEqual({'t2'}, set(self.arrive_often(8)))

    def test_not_for_a_repeat_either(self):
        self.leave(build_target(1))
        made = self.apply(
            events.RepeatAsked(
                request_id='r',
                tried_target_ids=frozenset({'t2'}),
                time_left_s=3.0,
            )
        )
        self.assertEqual({'r': _Reason.NO_OTHER_TARGET}, self.refused(made))

    def test_list_changes_nothing(self):
        self.leave(build_target(1))
        self.publish(build_target(1, revision=9), build_target(2))
        self.publish(build_target(2))
        self.publish(build_target(1, revision=10), build_target(2))
        self.assertEqual({'t2'}, set(self.arrive_often(8)))

    def test_next_incarnation_is_another_target(self):
        self.leave(build_target(1))
        self.publish(build_target(1, incarnation=2), build_target(2))
        self.assertIn('t1', self.arrive_often(8))

    def test_all_leave(self):
        self.leave(build_target(1))
        self.leave(build_target(2))
        made = self.arrive('r', is_on_time=False, wait_until_s=1.0)
        self.assertEqual({'r': _Reason.NO_TARGET}, self.refused(made))

    def test_as_many_are_remembered_as_fit(self):
        for number in range(conf.NOTICES_LIMIT + 1):
            self.leave(build_target(number))
        pool = self.dispatcher.pool
        self.assertFalse(pool.notices.is_leaving(build_target(0)))
        self.assertTrue(pool.notices.is_leaving(build_target(1)))

    def test_engines(self):
        self.build(is_engine=True)
        self.publish(build_target(1), build_target(2))
        self.leave(build_target(1))
        self.assertEqual({'t2'}, set(self.arrive_often(8)))


class HintTests(NoticesCase):
    def hint(self, number, *, age_s=0.0, now_s=0.0):
        hint = notices.LeavingTarget(
            target_id=f't{number}', incarnation=1, age_s=age_s
        )
        self.apply(events.LeavingHinted(hints=(hint,)), now_s)

    def test_comes_last(self):
        self.hint(1)
        self.assertEqual({'t2'}, set(self.arrive_often(8)))

    def test_serves_where_there_is_no_other(self):
        self.hint(1)
        self.leave(build_target(2))
        self.assertEqual({'t1'}, set(self.arrive_often(8)))

    def test_lapses_by_its_age(self):
        self.hint(1, age_s=conf.HINT_MEMORY_S - 1.0)
        self.assertEqual({'t2'}, set(self.arrive_often(8, now_s=0.5)))
        self.assertIn('t1', self.arrive_often(8, now_s=1.5))

    def test_own_notices_are_passed_on_and_hints_are_not(self):
        self.hint(1)
        self.leave(build_target(2))
        hints = self.dispatcher.pool.notices.hints(now_s=2.0)
        self.assertEqual(['t2'], [x.target_id for x in hints])
        self.assertEqual([2.0], [x.age_s for x in hints])
        later_s = conf.HINT_MEMORY_S
        self.assertEqual((), self.dispatcher.pool.notices.hints(now_s=later_s))


class PauseTests(NoticesCase):
    def test_gets_nothing_until_the_end(self):
        self.pause(build_target(1), 4.0)
        self.assertEqual({'t2'}, set(self.arrive_often(8, now_s=3.99)))
        self.assertIn('t1', self.arrive_often(8, now_s=4.01))

    def test_longest_end_counts(self):
        self.pause(build_target(1), 4.0)
        self.pause(build_target(1), 1.0)
        self.assertEqual({'t2'}, set(self.arrive_often(8, now_s=3.0)))

    def test_is_no_failure(self):
        self.pause(build_target(1), 1.0)
        self.arrive('r')
        for number in range(8):
            self.end('t1', result=models.TryResult.PAUSED)
        state = self.dispatcher.pool._states_by_id['t1']
        self.assertEqual(0.0, state.health.failure_rate(now_s=0.0))

    def test_next_incarnation_has_none(self):
        self.pause(build_target(1), 4.0)
        self.publish(build_target(1, incarnation=2), build_target(2))
        self.assertIn('t1', self.arrive_often(8))

    def test_all_are_paused(self):
        self.pause(build_target(1), 4.0)
        self.pause(build_target(2), 2.0)
        (refusal,) = self.arrive('r', now_s=0.5)
        self.assertEqual(_Reason.ALL_PAUSED, refusal.reason)
        self.assertGreaterEqual(refusal.retry_after_s, 1.5)
        self.assertLess(refusal.retry_after_s, 2.0)

    def test_what_waits_is_refused_once_all_are_paused(self):
        self.fill()
        self.arrive('waits', wait_until_s=1.0)
        self.pause(build_target(1), 4.0)
        made = self.pause(build_target(2), 4.0)
        self.assertEqual({'waits': _Reason.ALL_PAUSED}, self.refused(made))

    def test_request_waits_for_a_pause_that_ends_in_time(self):
        self.pause(build_target(1), 0.1)
        self.pause(build_target(2), 0.1)
        self.assertEqual((), self.arrive('r', wait_until_s=0.3))
        made = self.apply(events.Ticked(), now_s=0.15)
        self.assertEqual({'r'}, set(self.placed(made)))

    def test_queue_is_not_sent_at_once_at_the_end(self):
        self.build(is_engine=False)
        self.publish(build_target(1, slots=64))
        self.pause(build_target(1), 1.0)
        for number in range(32):
            self.arrive(str(number), now_s=0.5, wait_until_s=60.0)
        sent_s = []
        for step in range(200):
            now_s = step * STEP_S
            made = self.apply(events.Ticked(), now_s=now_s)
            sent_s.extend(now_s for _ in self.placed(made))
        first_s = [x for x in sent_s if x < 1.0 + conf.PAUSE_RAMP_S / 2]
        self.assertEqual(1, len(first_s))
        self.assertGreaterEqual(len(sent_s), 9)

    def test_a_pause_without_end_is_bounded(self):
        self.pause(build_target(1), 1e9)
        end_s = conf.PAUSE_LONGEST_S
        self.assertEqual({'t2'}, set(self.arrive_often(8, now_s=end_s - 1)))
        self.assertIn('t1', self.arrive_often(8, now_s=end_s + 1))


class BusyServiceTests(NoticesCase):
    """Play a service whose targets all ask for pauses, under steady load."""

    def test_targets_get_what_they_asked_for(self):
        pauses_s = {'t1': 2.0, 't2': 3.0}
        refused_s = {}
        late = {'t1': 0, 't2': 0}
        steps = int(20.0 / STEP_S)
        placed = refused = 0
        for step in range(steps):
            now_s = step * STEP_S
            made = list(self.arrive(str(step), now_s))
            for target_id in self.placed(made).values():
                since_s = now_s - refused_s.get(target_id, -99.0)
                if PAUSE_GRACE_S < since_s < pauses_s[target_id] - STEP_S:
                    late[target_id] += 1
                refused_s[target_id] = now_s
                target = build_target(int(target_id[1]))
                made += self.pause(target, pauses_s[target_id], now_s)
                made += self.end(
                    target_id, now_s, result=models.TryResult.PAUSED
                )
            placed += len(self.placed(made))
            refused += len(self.refused(made))
        self.assertEqual({'t1': 0, 't2': 0}, late)
        waiting = self.dispatcher.queue_length
        self.assertEqual(steps, placed + refused + waiting)
        self.assertLess(waiting, 0.2 / STEP_S + 1)
