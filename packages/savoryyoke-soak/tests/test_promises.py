"""Test that each broken promise is found in the history of a run."""

import dataclasses
import unittest

from savoryyoke_soak import conf
from savoryyoke_soak import promises
from savoryyoke_soak import records

INCARNATION = 'entry-1.1'


def build_call(kind=records.Kind.LOOKUP, **changes):
    """Return a call with a complete answer, changed by ``changes``."""
    request_id = f'{kind.value}-1'
    body = b'answer of target-1'
    if kind is records.Kind.DRAFT:
        body = b''.join(
            f'id: {number}\ndata: x\n\n'.encode()
            for number in range(1, conf.STREAM_EVENTS + 1)
        )
    call = records.Call(
        request_id=request_id,
        kind=kind,
        incarnation=INCARNATION,
        sent_s=10.0,
        ended_s=10.2,
        status=200,
        body=body,
        answered_request_id=request_id,
        is_complete=True,
        failure=None,
    )
    return dataclasses.replace(call, **changes)


def build_run(call, *, target_id='target-1', at_s=10.1):
    """Return a run of a call."""
    return records.Arrival(
        request_id=call.request_id, target_id=target_id, at_s=at_s
    )


class HistoryCase(unittest.TestCase):
    def setUp(self):
        self.history = records.History()
        self.history.written_s_by_version[1] = 0.0

    def add(self, call, *, runs=1):
        """Add a call with its runs."""
        self.history.calls.append(call)
        self.history.runs.extend([build_run(call)] * runs)

    def add_trouble(
        self, kind, *, subject=INCARNATION, from_s=9.0, until_s=11.0
    ):
        """Add a trouble."""
        self.history.troubles.append(
            records.Trouble(
                kind=kind, subject=subject, from_s=from_s, until_s=until_s
            )
        )

    def assert_broken(self, *names):
        """Check that exactly these promises are found broken."""
        broken_promises = [
            breach.promise for breach in promises.check(self.history)
        ]
        self.assertEqual(list(names), broken_promises)

    def add_probe(self, *, at_s, in_force):
        """Add a probe of version 1."""
        self.history.probes.append(
            records.Probe(
                incarnation=INCARNATION,
                version=1,
                at_s=at_s,
                in_force=in_force,
            )
        )


class PromiseTests(HistoryCase):
    def test_complete_answers_break_no_promise(self):
        for kind in records.Kind:
            self.add(build_call(kind))
        self.assert_broken()

    def test_payment_that_runs_twice(self):
        self.add(build_call(records.Kind.PAYMENT), runs=2)
        self.assert_broken('once')

    def test_lookup_may_run_twice(self):
        self.add(build_call(), runs=2)
        self.assert_broken()

    def test_refusal_of_a_request_that_has_run(self):
        self.add(build_call(status=503))
        self.assert_broken('not-run')

    def test_failure_that_may_have_run(self):
        self.add(build_call(status=504))
        self.assert_broken()

    def test_complete_stream_with_a_gap(self):
        body = b'id: 1\ndata: x\n\nid: 3\ndata: x\n\n'
        self.add(build_call(records.Kind.DRAFT, body=body))
        self.assert_broken('whole')

    def test_stream_that_is_visibly_incomplete(self):
        self.add(
            build_call(
                records.Kind.DRAFT,
                body=b'id: 1\ndata: x\n\n',
                is_complete=False,
                failure='RemoteProtocolError',
            )
        )
        self.assert_broken()

    def test_answer_to_another_request(self):
        self.add(build_call(answered_request_id='lookup-2'))
        self.assert_broken('whole')

    def test_answer_that_no_target_gave(self):
        self.add(build_call(), runs=0)
        self.assert_broken('whole')

    def test_caller_without_an_answer(self):
        call = build_call(status=None, is_complete=False, failure='ReadError')
        self.add(call, runs=0)
        self.assert_broken('answered')

    def test_caller_of_an_entry_that_was_killed(self):
        call = build_call(status=None, is_complete=False, failure='ReadError')
        self.add(call, runs=0)
        self.add_trouble('killed')
        self.assert_broken()

    def test_caller_that_connects_to_a_stopped_entry(self):
        call = build_call(
            status=None, is_complete=False, failure='ConnectError'
        )
        self.add(call, runs=0)
        self.add_trouble('stopped')
        self.assert_broken()

    def test_request_that_a_stop_breaks_off(self):
        call = build_call(status=None, is_complete=False, failure='ReadError')
        self.add(call, runs=0)
        self.add_trouble('stopped')
        self.assert_broken('answered')

    def test_answer_that_is_much_too_late(self):
        late_s = 10.0 + conf.DEADLINE_S + conf.MACHINE_DELAY_S + 0.1
        self.add(build_call(ended_s=late_s))
        self.assert_broken('answered')

    def test_configuration_that_reverts(self):
        self.add_probe(at_s=1.0, in_force=True)
        self.add_probe(at_s=2.0, in_force=False)
        self.assert_broken('configuration')

    def test_configuration_that_comes_late(self):
        due_s = conf.CONFIGURATION_DELAY_S + conf.MACHINE_DELAY_S
        self.add_probe(at_s=due_s - 0.1, in_force=False)
        self.assert_broken()
        self.add_probe(at_s=due_s, in_force=False)
        self.assert_broken('configuration')

    def test_late_configuration_after_a_store_cut(self):
        self.add_probe(at_s=20.0, in_force=False)
        self.add_trouble('store-cut')
        self.assert_broken()

    def test_work_for_a_draining_target(self):
        self.history.draining_s_by_target['target-1'] = 1.0
        self.add(build_call())
        self.assert_broken('leaving')
        self.add_trouble('killed', from_s=2.0)
        self.assert_broken('leaving')
        self.add_trouble('store-error', subject='store', from_s=2.0)
        self.assert_broken()

    def add_fatal(self, *at_s, shares_part=False):
        """Add requests that crash targets, each with one run.

        With ``shares_part``, each has a body of its own.
        """
        for number, sent_s in enumerate(at_s):
            call = build_call(
                records.Kind.PAYMENT,
                request_id=f'fatal-{number}',
                sent_s=sent_s,
                ended_s=sent_s + 0.1,
                status=502,
                answered_request_id=None,
                sent_body=(
                    b'%s/%d' % (conf.FATAL_BODY, number)
                    if shares_part
                    else conf.FATAL_BODY
                ),
            )
            self.history.calls.append(call)
            self.history.runs.append(build_run(call, at_s=sent_s))

    def test_fatal_request_that_is_not_withheld(self):
        late_s = 3.0 + conf.CRASH_DETECTION_S
        self.add_fatal(1.0, 2.0, 3.0, 3.5, *[late_s + 1.0] * 3)
        self.assert_broken()
        self.history = records.History()
        self.add_fatal(1.0, 2.0, 3.0, *[late_s + 1.0] * 4)
        self.assert_broken('crashing')
        self.add_trouble('frozen', from_s=late_s, until_s=late_s + 0.5)
        self.assert_broken()
        self.history.troubles.clear()
        self.history.started_s_by_incarnation[INCARNATION] = late_s
        self.assert_broken()
        self.history.started_s_by_incarnation[INCARNATION] = 0.0
        self.assert_broken('crashing')

    def test_fatal_prompt_part_that_is_not_withheld(self):
        crashes_s = [1.0, 2.0, 3.0, 3.1, 3.2]
        late_s = crashes_s[-1] + conf.CRASH_DETECTION_S
        self.add_fatal(*crashes_s, *[late_s + 1.0] * 3, shares_part=True)
        self.assert_broken()
        self.history = records.History()
        self.add_fatal(*crashes_s, *[late_s + 1.0] * 4, shares_part=True)
        self.assert_broken('crashing')

    def test_request_that_no_caller_sent(self):
        self.history.unidentified.append('unidentified request')
        self.assert_broken('unasked')

    def test_entry_that_does_not_end_or_ends_badly(self):
        for status in (None, 1):
            self.history.stops.append(
                records.Stop(
                    incarnation=INCARNATION, status=status, duration_s=3.0
                )
            )
        self.assert_broken('stop', 'stop')


class NoticeTests(HistoryCase):
    """Test the promises about targets that announce a pause or leaving."""

    def add_answered_call(self, number, *, sent_s, **changes):
        """Add a call that was answered by ``target-1``."""
        call = build_call(
            request_id=f'lookup-{number}',
            answered_request_id=f'lookup-{number}',
            sent_s=sent_s,
            ended_s=sent_s + 0.1,
            **changes,
        )
        self.history.calls.append(call)
        self.history.runs.append(build_run(call, at_s=sent_s + 0.05))

    def add_refused_call(self, number, *, at_s):
        """Add a call that a busy target answered with a pause."""
        self.history.calls.append(
            build_call(
                request_id=f'busy-{number}',
                sent_s=at_s,
                ended_s=at_s + 0.1,
                status=503,
            )
        )
        self.history.refusals.append(
            records.Arrival(
                request_id=f'busy-{number}', target_id='target-1', at_s=at_s
            )
        )

    def test_work_for_a_target_that_announced_leaving(self):
        self.add_answered_call(1, sent_s=10.0, leaving_id='target-1')
        self.add_answered_call(2, sent_s=10.0 + conf.DRAIN_DELAY_S)
        self.assert_broken()
        self.add_answered_call(3, sent_s=10.2 + conf.DRAIN_DELAY_S)
        self.assert_broken('announced')
        self.add_trouble('frozen', from_s=11.0, until_s=12.0)
        self.assert_broken()

    def test_announcement_binds_only_its_receiver(self):
        self.add_answered_call(1, sent_s=10.0, leaving_id='target-1')
        self.add_answered_call(2, sent_s=20.0, incarnation='entry-2.1')
        self.assert_broken()

    def test_requests_in_a_pause(self):
        self.add_refused_call(1, at_s=10.0)
        for number in range(conf.ARRIVALS_IN_PAUSE):
            self.add_answered_call(number, sent_s=10.6 + 0.1 * number)
        self.add_answered_call(8, sent_s=10.1)
        self.add_answered_call(9, sent_s=10.0 + conf.PAUSE_S)
        self.assert_broken()
        self.add_answered_call(7, sent_s=11.0)
        self.assert_broken('paused')
        self.add_trouble('killed', from_s=11.0, until_s=12.0)
        self.assert_broken()

    def add_limited_arrivals(self, count, *, from_s):
        """Let requests arrive at a limited target within a window."""
        for number in range(count):
            call = build_call(
                request_id=f'limited-{from_s}-{number}',
                sent_s=from_s,
                ended_s=from_s + 2.0,
                status=502,
            )
            self.history.calls.append(call)
            self.history.limited_arrivals.append(
                records.Arrival(
                    request_id=call.request_id,
                    target_id='target-1',
                    at_s=from_s + 0.1 * number,
                )
            )

    def test_requests_beyond_a_rate_limit(self):
        self.history.limited_s_by_target['target-1'] = [10.0, 90.0]
        allowed = int(conf.ARRIVALS_IN_WINDOW)
        self.add_limited_arrivals(allowed + 1, from_s=11.0)
        self.add_limited_arrivals(allowed, from_s=20.0)
        self.add_limited_arrivals(allowed, from_s=30.0)
        self.assert_broken()
        self.add_limited_arrivals(1, from_s=31.0)
        self.assert_broken('limited')
        self.add_trouble('frozen', from_s=29.0, until_s=30.5)
        self.assert_broken()
