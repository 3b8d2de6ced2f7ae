"""Run an entry that breaks one promise, named by the argument.

Each mutant shows that the soak sees the promise broken.
"""

import sys

import anyio

from savoryyoke.forwarding import framing
from savoryyoke.forwarding import ledger
from savoryyoke.placement import notices
from savoryyoke_gateway import callers
from savoryyoke_gateway import dispatching
from savoryyoke_gateway import following
from savoryyoke_gateway import forwarder
from savoryyoke_gateway import retrying
from savoryyoke_gateway import stopping
from savoryyoke_gateway import suspects
from savoryyoke_platform import entry


def _repeat_payments():
    """Try every request again that may have run."""
    start = ledger.RequestLedger.__init__

    def start_repeatable(self, *, may_repeat, attempts_limit):
        start(self, may_repeat=True, attempts_limit=3)

    ledger.RequestLedger.__init__ = start_repeatable
    # Other requests spend the retry limit, which would hide most repeats.
    retrying.RetryAllowances.has_token = lambda self, service_name: True


def _deny_runs():
    """Say of every failed request that it has not run."""
    answer = callers.CallerChannel.answer

    async def deny(self, *, status, headers=(), body=b''):
        await answer(
            self,
            status=503 if status >= 500 else status,
            headers=headers,
            body=body,
        )

    callers.CallerChannel.answer = deny


def _drop_events():
    """Lose the third event of each part of a stream."""
    feed = framing.EventSplitter.feed

    def drop(self, data):
        return [
            event
            for event in feed(self, data)
            if event.event_id is None or int(event.event_id) % 5
        ]

    framing.EventSplitter.feed = drop


def _stay_behind():
    """Read the platform once and never again."""
    take_in = following.Follower._apply_reading

    def take_in_once(self, reading):
        if not self._published_state.as_of:
            return take_in(self, reading)
        return False

    following.Follower._apply_reading = take_in_once


def _keep_leaving_targets():
    """Send work to targets that leave."""
    publish = dispatching.Dispatching.update_targets

    def publish_all(self, *, services_by_name, targets, entry_count):
        kept = getattr(self, 'kept', {})
        for target in targets:
            kept.setdefault(target.target_id, target)
        self.kept = kept
        publish(
            self,
            services_by_name=services_by_name,
            targets=list(kept.values()),
            entry_count=entry_count,
        )

    dispatching.Dispatching.update_targets = publish_all


def _ignore_notices():
    """Forget that a target has said that it leaves."""
    notices.TargetNotices.is_leaving = lambda self, target: False
    notices.TargetNotices.has_leaving_hint = lambda self, target, now_s: False


def _ignore_pauses():
    """Send to a target that wants nothing."""
    notices.TargetNotices.in_flight_limit = lambda self, target, now_s: None


def _hold_answers():
    """Keep what was answered for longer than any caller waits."""
    serve = forwarder.Forwarder.serve

    async def hold(self, request, body, channel, *, arrived_s):
        if request.request_id.endswith('7'):
            await anyio.sleep(30.0)
        await serve(self, request, body, channel, arrived_s=arrived_s)

    forwarder.Forwarder.serve = hold


def _stop_badly():
    """End at once, with an error, when asked to stop."""

    def end(self):
        raise RuntimeError('stopped')

    stopping.Stopping.begin = end


def _send_what_crashes():
    """Withhold no request."""
    suspects.Suspects.find_withheld = lambda self, call: None


MUTATIONS_BY_PROMISE = {
    'once': _repeat_payments,
    'not-run': _deny_runs,
    'whole': _drop_events,
    'answered': _hold_answers,
    'configuration': _stay_behind,
    'leaving': _keep_leaving_targets,
    'announced': _ignore_notices,
    'paused': _ignore_pauses,
    'crashing': _send_what_crashes,
    'stop': _stop_badly,
}


if __name__ == '__main__':
    MUTATIONS_BY_PROMISE[sys.argv[1]]()
    sys.exit(entry.main())
