"""Enforce team limits at this entry, with loans from other entries."""

import contextlib

import anyio

from savoryyoke.limits import aggregates
from savoryyoke.limits import conf as limits_conf
from savoryyoke.limits import decisions
from savoryyoke.limits import events
from savoryyoke_edge import exceptions as edge_exceptions
from savoryyoke_edge import logs
from savoryyoke_edge import problems
from savoryyoke_entry import conf
from savoryyoke_wire import messages

# Numbers of loan requests combine this part of the incarnation with a
# counter and have to fit into 64 bits.
_INCARNATION_MASK = 2**32 - 1


class TeamLimiter:
    """Enforce this entry's part of the teams' limits."""

    def __init__(self, *, entry_id, incarnation, clock):
        self._entry_id = entry_id
        self._clock = clock
        self._limits = aggregates.TeamLimits(
            entry_id=entry_id,
            incarnation=incarnation & _INCARNATION_MASK,
            now_s=clock(),
        )
        self._addresses_by_entry_id = {}

    def apply_vm_list(self, vm_list):
        """Update the live entries from the platform's list of VMs."""
        self._addresses_by_entry_id = {
            vm.vm_id: vm.address
            for vm in vm_list.vms
            if vm.role == 'entry' and vm.state == 'live'
        }
        entry_ids = tuple(sorted(self._addresses_by_entry_id))
        self._apply(events.EntriesListed(entry_ids=entry_ids))

    def apply_teams(self, teams_by_name):
        """Apply the team limits of the configuration in force."""
        limits_by_team = {
            name: limits_conf.TeamLimit(
                requests_per_s=team.requests_per_s,
                tokens_per_s=team.tokens_per_s,
                max_concurrency=team.max_concurrency,
            )
            for name, team in teams_by_name.items()
        }
        self._apply(events.LimitsPublished(limits_by_team=limits_by_team))

    def may_serve(self, entry_id, *, team):
        """Return whether an entry admits calls of a team."""
        home_entry_ids = self._limits.home_entry_ids(team=team)
        return not home_entry_ids or entry_id in home_entry_ids

    @contextlib.contextmanager
    def admit(self, call_id, request):
        """Count a call while it runs.

        Yield None if the call is admitted, else the ``Problem`` that refuses
        it.
        """
        (decision,) = self._apply(
            events.CallArrived(
                call_id=call_id, team=request.team_name, tokens=request.cost
            )
        )
        if isinstance(decision, decisions.RefuseByLimit):
            yield self._build_problem(decision)
            return
        try:
            yield None
        finally:
            self._apply(events.CallEnded(call_id=call_id))

    def answer_loan_request(self, request):
        """Return the ``LoanAnswer`` to another entry's loan request."""
        grants = self._apply(
            events.LoanRequestReceived(
                entry_id=request.entry_id,
                rows=_read_rows(request.rows, decisions.LoanRequestRow),
            )
        )
        rows = grants[0].rows if grants else ()
        return messages.LoanAnswer(
            request_id=request.request_id, rows=_write_rows(rows)
        )

    async def run(self, send_request):
        """Request loans from other entries until cancelled.

        ``send_request(vm_id, build_request)`` returns another entry's answer
        or raises ``ConnectionLost``.
        """
        async with anyio.create_task_group() as tasks:
            while True:
                await anyio.sleep(conf.LOAN_PERIOD_S)
                for decision in self._apply(events.HeartbeatDue()):
                    tasks.start_soon(
                        self._request_loan, send_request, decision
                    )

    async def _request_loan(self, send_request, decision):
        def build_request(request_id):
            return messages.LoanRequest(
                request_id=request_id,
                entry_id=self._entry_id,
                rows=_write_rows(decision.rows),
            )

        try:
            answer = await send_request(decision.entry_id, build_request)
        except edge_exceptions.ConnectionLost as error:
            logs.write_event(
                'loan_unanswered', entry=decision.entry_id, reason=str(error)
            )
            return
        if not isinstance(answer, messages.LoanAnswer):
            return
        self._apply(
            events.LoanGrantReceived(
                entry_id=decision.entry_id,
                rows=_read_rows(answer.rows, decisions.LoanGrantRow),
            )
        )

    def _build_problem(self, refusal):
        addresses = [
            self._addresses_by_entry_id[entry_id]
            for entry_id in refusal.entry_ids
            if entry_id in self._addresses_by_entry_id
        ]
        return problems.Problem(
            name='limit-exceeded',
            reason=refusal.reason.value,
            detail=f'entries of this team: {", ".join(addresses)}',
            retry_after_s=refusal.retry_after_s,
        )

    def _apply(self, event):
        return self._limits.apply(event, now_s=self._clock())


def _write_rows(rows):
    return tuple(
        messages.LoanRow(
            team=row.team,
            resource=row.resource.value,
            rate_per_s=row.rate_per_s,
            number=row.number,
        )
        for row in rows
    )


def _read_rows(rows, row_class):
    """Return the valid rows.

    A peer of a newer version may send resources unknown to this one.
    """
    resources_by_name = {item.value: item for item in limits_conf.Resource}
    return tuple(
        row_class(
            team=row.team,
            resource=resources_by_name[row.resource],
            rate_per_s=row.rate_per_s,
            number=row.number,
        )
        for row in rows
        if row.resource in resources_by_name and 0 < row.rate_per_s < 1e12
    )
