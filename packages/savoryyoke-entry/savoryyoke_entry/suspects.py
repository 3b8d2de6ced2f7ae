"""Isolate or quarantine requests that are suspected of crashes."""

from savoryyoke.quarantine import aggregates
from savoryyoke.quarantine import events
from savoryyoke.quarantine import fingerprints
from savoryyoke.quarantine import isolation
from savoryyoke.routing import decisions as routing_decisions
from savoryyoke_edge import crash_reports


class SuspectRequests:
    """Track the requests that are suspected of crashing back ends."""

    def __init__(self, *, clock):
        self._clock = clock
        self._quarantine = aggregates.Quarantine()

    def check_call(self, call_id, fingerprint):
        """Return the quarantine's decision on a call before it is sent."""
        (decision,) = self._apply(
            events.CallOffered(call_id=call_id, fingerprint=fingerprint)
        )
        return decision

    def record_success(self, fingerprint):
        """Clear a request that a back end has answered completely."""
        self._apply(events.CallSucceeded(fingerprint=fingerprint))

    def record_crash_reports(self, reports):
        """Record the crash reports of a message."""
        if reports:
            self._apply(
                events.ReportsReceived(reports=crash_reports.unpack(reports))
            )

    def _apply(self, event):
        return self._quarantine.apply(event, now_s=self._clock())


def compute_fingerprint(request):
    """Return the digest that identifies a request's content.

    All processes compute the same digest.
    """
    parts = (request.route.service_name, request.method, request.path)
    return fingerprints.compute_fingerprint(
        service='\0'.join(parts), body=request.body
    )


class IsolatedTargetChoice:
    """Choose the target on which a suspect runs in isolation.

    ``choose(request)`` returns the router's choice. All entries try the
    targets in the same order, so that copies of a request reach one target.
    """

    def __init__(self, *, fingerprint, choose):
        self._fingerprint = fingerprint
        self._choose_by_router = choose
        self._occupied_target_ids = set()

    def choose(self, build_request, *, target_ids, excluded):
        """Return the choice of the first ranked target that is available.

        ``build_request(excluded)`` builds the router's request. If no target
        is available, return the first ``NoTarget``.
        """
        first_refusal = None
        for target_id in isolation.rank_targets(
            fingerprint=self._fingerprint,
            target_ids=target_ids - excluded - self._occupied_target_ids,
        ):
            other_target_ids = target_ids - {target_id}
            choice = self._choose_by_router(
                build_request(other_target_ids | excluded)
            )
            if not isinstance(choice, routing_decisions.NoTarget):
                return choice
            first_refusal = first_refusal or choice
        self._occupied_target_ids.clear()
        return first_refusal or self._choose_by_router(
            build_request(target_ids)
        )

    def mark_occupied(self, target_id):
        """Skip a target, because another suspect runs on it.

        Once all targets were skipped or refused, none is skipped any more.
        """
        self._occupied_target_ids.add(target_id)
