"""Choose the target of each try of one idempotent request."""

from savoryyoke.quarantine import decisions as quarantine_decisions
from savoryyoke.routing import decisions as routing_decisions
from savoryyoke_entry import observations
from savoryyoke_entry import suspects


class TargetChoices:
    """Track the targets that a request has tried and choose the next.

    ``crash_reports`` are the reports to send with the next try; they are empty
    unless the request is suspected of crashing back ends.
    """

    def __init__(self, *, request, service, fingerprint, clock, call_id):
        self._request = request
        self._service = service
        self._clock = clock
        self._call_id = call_id
        self._excluded = set()
        self._isolated_choice = suspects.IsolatedTargetChoice(
            fingerprint=fingerprint, choose=self._choose_by_router
        )
        self.crash_reports = ()

    def exclude(self, target_id):
        """Exclude a target from all further tries."""
        self._excluded.add(target_id)

    def readmit(self, target_id, *, is_occupied):
        """Allow further tries at a target that refused for isolation.

        ``is_occupied`` says that the target runs another suspect request.
        """
        self._excluded.discard(target_id)
        if is_occupied:
            self._isolated_choice.mark_occupied(target_id)

    async def choose(self, verdict, attempt):
        """Return the router's ``Choice`` or ``NoTarget`` for a try.

        ``verdict`` is the quarantine's decision on the request; a request
        that is isolated gets its target from ``IsolatedTargetChoice``.
        """
        if isinstance(verdict, quarantine_decisions.Isolate):
            self.crash_reports = verdict.reports
            choice = self._isolated_choice.choose(
                self._build_request,
                target_ids=self._service.target_ids,
                excluded=frozenset(self._excluded),
            )
        else:
            self.crash_reports = ()
            choice = await self._choose_or_wait()
        observations.log_choice(
            self._call_id, attempt, self._build_request(frozenset()), choice
        )
        return choice

    async def _choose_or_wait(self):
        choice = self._choose_target()
        if not isinstance(choice, routing_decisions.NoTarget):
            return choice
        return await self._service.wait_queue.wait(
            choice,
            self._choose_target,
            self._choose_target_queue,
            priority=self._request.priority,
            deadline_s=self._request.deadline_s,
        )

    def _choose_target(self):
        excluded = frozenset(self._excluded)
        return self._choose_by_router(self._build_request(excluded))

    def _choose_target_queue(self):
        request = self._build_request(frozenset(self._excluded))
        return self._service.router.choose_queue(request, self._clock())

    def _choose_by_router(self, request):
        return self._service.router.choose(request, self._clock())

    def _build_request(self, excluded):
        return routing_decisions.Request(
            service=self._request.route.service_name,
            prefix_digests=self._request.prefix_digests,
            team=self._request.team_name,
            priority=self._request.priority,
            remaining_s=self._request.deadline_s - self._clock(),
            excluded_target_ids=excluded,
        )
