"""Choose the target of each try of one idempotent request."""

from savoryyoke.quarantine import decisions as quarantine_decisions
from savoryyoke.routing import decisions as routing_decisions
from savoryyoke_entry import observations
from savoryyoke_entry import suspects


class TargetChoices:
    """Own which targets a request has tried and what to ask the router.

    ``crash_reports`` are those that travel with the next try.
    """

    def __init__(self, *, request, service, fingerprint, clock, call_id):
        self._request = request
        self._service = service
        self._clock = clock
        self._call_id = call_id
        self._excluded = set()
        self._isolation = suspects.IsolatedChoice(
            fingerprint=fingerprint, choose=self._ask_router
        )
        self.crash_reports = ()

    def exclude(self, target_id):
        """Send no further try to a target."""
        self._excluded.add(target_id)

    def hold_back(self, target_id, *, occupied):
        """Let a target be tried again that took no call for now.

        ``occupied`` tells that it runs another suspect.
        """
        self._excluded.discard(target_id)
        if occupied:
            self._isolation.note_occupied(target_id)

    async def choose(self, verdict, attempt):
        """Return the router's choice, or that of the isolation."""
        if isinstance(verdict, quarantine_decisions.Isolate):
            self.crash_reports = verdict.reports
            choice = self._isolation.choose(
                self._build_request,
                target_ids=self._service.target_ids,
                excluded=frozenset(self._excluded),
            )
        else:
            self.crash_reports = ()
            choice = await self._choose_in_turn()
        observations.log_choice(
            self._call_id, attempt, self._build_request(frozenset()), choice
        )
        return choice

    async def _choose_in_turn(self):
        choice = self._ask_for_any()
        if not isinstance(choice, routing_decisions.NoTarget):
            return choice
        return await self._service.turns.wait(
            choice,
            self._ask_for_any,
            self._ask_for_queue,
            priority=self._request.priority,
            deadline_s=self._request.deadline_s,
        )

    def _ask_for_any(self):
        excluded = frozenset(self._excluded)
        return self._ask_router(self._build_request(excluded))

    def _ask_for_queue(self):
        request = self._build_request(frozenset(self._excluded))
        return self._service.router.choose_queue(request, self._clock())

    def _ask_router(self, request):
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
