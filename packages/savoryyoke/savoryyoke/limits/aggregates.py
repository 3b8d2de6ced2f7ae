"""Admit or refuse calls at one entry by the limits of their team."""

import dataclasses
import functools

from savoryyoke.admission import retry_schedules
from savoryyoke.limits import buckets
from savoryyoke.limits import conf
from savoryyoke.limits import decisions
from savoryyoke.limits import events
from savoryyoke.limits import exceptions
from savoryyoke.limits import homes

_CONCURRENCY_RETRY_AFTER_S = 1.0
_REQUEST_COUNTER_BITS = 32
_REASON_BY_RESOURCE = {
    conf.Resource.REQUESTS: decisions.LimitReason.REQUEST_RATE,
    conf.Resource.TOKENS: decisions.LimitReason.TOKEN_RATE,
}


@dataclasses.dataclass(kw_only=True)
class _RunningCall:
    team: str
    tokens: float


class TeamLimits:
    """Enforce this entry's share of each team's limits.

    A team's limit is divided evenly between a few entries, which are called
    its home entries. A home entry whose share is too small borrows from the
    others. The loan period starts for the lender when it grants the loan,
    but for the borrower when it sent the request, which was earlier. So the
    loan ends first at the borrower, and no network delay lets both use it.
    """

    def __init__(self, *, entry_id, incarnation, now_s):
        self._entry_id = entry_id
        self._homes = homes.HomeHistory(entry_id=entry_id)
        self._limits_by_team = {}
        self._buckets_by_key = {}
        self._retry_schedule = retry_schedules.RetrySchedule()
        self._running_calls_by_id = {}
        self._running_count_by_team = {}
        self._request_sent_s_by_number = {}
        # Request numbers start with the incarnation, so that a grant to an
        # earlier process of this entry is not accepted.
        self._last_request_number = incarnation << _REQUEST_COUNTER_BITS
        self._next_key_index = 0
        self._last_heartbeat_s = now_s
        # An earlier process of this entry may have lent out its share.
        self._accrues_from_s = now_s + conf.LOAN_DURATION_S

    def home_entry_ids(self, *, team):
        """Return the ids of the entries that admit the team's calls.

        The tuple is empty for a team without limits, whose calls are
        admitted at every entry.
        """
        limit = self._limits_by_team.get(team)
        if limit is None:
            return ()
        return self._homes.home_entry_ids(team=team, limit=limit)

    def apply(self, event, *, now_s):
        """Apply an event and return the resulting decisions.

        Raises UnknownEvent for an unsupported event type.
        """
        return self._apply(event, now_s)

    @functools.singledispatchmethod
    def _apply(self, event, now_s):
        raise exceptions.UnknownEvent(type(event).__name__)

    @_apply.register
    def _(self, event: events.EntriesListed, now_s):
        self._homes.set_entries(entry_ids=event.entry_ids, now_s=now_s)
        self._update_base_rates(now_s)
        return ()

    @_apply.register
    def _(self, event: events.LimitsPublished, now_s):
        self._limits_by_team = {
            team: limit
            for team, limit in event.limits_by_team.items()
            if limit.bounded
        }
        self._homes.clear_choices()
        self._update_base_rates(now_s)
        return ()

    @_apply.register
    def _(self, event: events.CallArrived, now_s):
        limit = self._limits_by_team.get(event.team)
        if limit is None:
            return (decisions.Admit(call_id=event.call_id),)
        refusal = self._find_refusal(event, limit, now_s)
        if refusal is not None:
            return (refusal,)
        for resource in limit.rate_by_resource:
            bucket = self._buckets_by_key[event.team, resource]
            bucket.spend(_requested_amount(event, resource))
        self._running_calls_by_id[event.call_id] = _RunningCall(
            team=event.team, tokens=event.tokens
        )
        running = self._running_count_by_team.get(event.team, 0)
        self._running_count_by_team[event.team] = running + 1
        return (decisions.Admit(call_id=event.call_id),)

    @_apply.register
    def _(self, event: events.CallEnded, now_s):
        call = self._running_calls_by_id.pop(event.call_id, None)
        if call is None:
            return ()
        self._running_count_by_team[call.team] -= 1
        bucket = self._buckets_by_key.get((call.team, conf.Resource.TOKENS))
        if bucket is not None and event.tokens is not None:
            bucket.spend(event.tokens - call.tokens)
        return ()

    @_apply.register
    def _(self, event: events.HeartbeatDue, now_s):
        elapsed_s = now_s - self._last_heartbeat_s
        self._last_heartbeat_s = now_s
        self._forget_old_requests(now_s)
        rows_by_entry = {}
        for team, resource in self._keys_in_rotation():
            bucket = self._buckets_by_key[team, resource]
            self._request_loans(team, resource, bucket, rows_by_entry, now_s)
            bucket.decay_demand(elapsed_s=elapsed_s)
        return tuple(
            decisions.SendLoanRequest(entry_id=entry_id, rows=tuple(rows))
            for entry_id, rows in rows_by_entry.items()
        )

    @_apply.register
    def _(self, event: events.LoanRequestReceived, now_s):
        grant_rows = []
        for row in event.rows:
            granted_per_s = self._grant_loan(event.entry_id, row, now_s)
            if granted_per_s > 0:
                grant_rows.append(
                    decisions.LoanGrantRow(
                        team=row.team,
                        resource=row.resource,
                        rate_per_s=granted_per_s,
                        number=row.number,
                    )
                )
        if not grant_rows:
            return ()
        return (
            decisions.SendLoanGrant(
                entry_id=event.entry_id, rows=tuple(grant_rows)
            ),
        )

    @_apply.register
    def _(self, event: events.LoanGrantReceived, now_s):
        for row in event.rows:
            request_sent_s = self._request_sent_s_by_number.get(row.number)
            bucket = self._buckets_by_key.get((row.team, row.resource))
            if request_sent_s is None or bucket is None:
                continue
            loan = buckets.Loan(
                rate_per_s=row.rate_per_s,
                until_s=request_sent_s + conf.LOAN_DURATION_S,
            )
            bucket.borrow(entry_id=event.entry_id, loan=loan, now_s=now_s)
        return ()

    def _find_refusal(self, event, limit, now_s):
        allowed = self._homes.may_admit(
            team=event.team, limit=limit, now_s=now_s
        )
        if not allowed:
            return self._build_refusal(
                event, decisions.LimitReason.OTHER_ENTRY, 0.0
            )
        refusal = None
        for resource in limit.rate_by_resource:
            bucket = self._find_or_create_bucket(event.team, resource, limit)
            bucket.refill(now_s=now_s)
            amount = _requested_amount(event, resource)
            bucket.record_demand(amount)
            if not bucket.can_spend(amount):
                refusal = self._refuse_until_refill(
                    event, resource, bucket, now_s
                )
        if refusal is None and self._is_concurrency_used_up(event.team, limit):
            reason = decisions.LimitReason.CONCURRENCY
            refusal = self._build_refusal(
                event, reason, _CONCURRENCY_RETRY_AFTER_S
            )
        return refusal

    def _is_concurrency_used_up(self, team, limit):
        if limit.max_concurrency is None:
            return False
        home_ids = self._homes.home_entry_ids(team=team, limit=limit)
        concurrency_share, remainder = divmod(
            limit.max_concurrency, max(len(home_ids), 1)
        )
        # The remainder is spread over the first home entries, one call each.
        if self._entry_id in home_ids[:remainder]:
            concurrency_share += 1
        return self._running_count_by_team.get(team, 0) >= concurrency_share

    def _refuse_until_refill(self, event, resource, bucket, now_s):
        amount = _requested_amount(event, resource)
        retry_after_s = self._retry_schedule.retry_after_s(
            team=event.team,
            wait_s=bucket.wait_s(amount, now_s=now_s),
            service_s=amount / bucket.rate_per_s,
            now_s=now_s,
        )
        reason = _REASON_BY_RESOURCE[resource]
        return self._build_refusal(event, reason, retry_after_s)

    def _build_refusal(self, event, reason, retry_after_s):
        return decisions.RefuseByLimit(
            call_id=event.call_id,
            reason=reason,
            retry_after_s=retry_after_s,
            entry_ids=self.home_entry_ids(team=event.team),
        )

    def _find_or_create_bucket(self, team, resource, limit):
        key = (team, resource)
        if key not in self._buckets_by_key:
            self._buckets_by_key[key] = buckets.Bucket(
                base_per_s=self._base_per_s(team, resource, limit),
                accrues_from_s=self._accrues_from_s,
            )
        return self._buckets_by_key[key]

    def _base_per_s(self, team, resource, limit):
        home_ids = self._homes.home_entry_ids(team=team, limit=limit)
        return limit.rate_by_resource[resource] / max(len(home_ids), 1)

    def _update_base_rates(self, now_s):
        buckets_by_key = {}
        for (team, resource), bucket in self._buckets_by_key.items():
            limit = self._limits_by_team.get(team)
            if limit is None or resource not in limit.rate_by_resource:
                continue
            base_per_s = self._base_per_s(team, resource, limit)
            bucket.change_base(base_per_s=base_per_s, now_s=now_s)
            buckets_by_key[team, resource] = bucket
        self._buckets_by_key = buckets_by_key

    def _keys_in_rotation(self):
        # Keys that did not fit into one heartbeat come first in the next one.
        keys = list(self._buckets_by_key)
        start_index = self._next_key_index % max(len(keys), 1)
        self._next_key_index = start_index
        return keys[start_index:] + keys[:start_index]

    def _request_loans(self, team, resource, bucket, rows_by_entry, now_s):
        bucket.refill(now_s=now_s)
        wanted_per_s = bucket.demand_per_s - bucket.base_per_s
        other_home_ids = [
            home_id
            for home_id in self.home_entry_ids(team=team)
            if home_id != self._entry_id
        ]
        rows = sum(len(rows) for rows in rows_by_entry.values())
        if rows + len(other_home_ids) > conf.MAX_ROWS_PER_HEARTBEAT:
            return
        self._next_key_index += 1
        if wanted_per_s <= 0:
            return
        for other_id in other_home_ids:
            missing_per_s = wanted_per_s - bucket.borrowed_per_s(
                except_from=other_id
            )
            if missing_per_s <= 0:
                continue
            row = decisions.LoanRequestRow(
                team=team,
                resource=resource,
                rate_per_s=missing_per_s,
                number=self._next_request_number(now_s),
            )
            rows_by_entry.setdefault(other_id, []).append(row)

    def _grant_loan(self, entry_id, row, now_s):
        limit = self._limits_by_team.get(row.team)
        if limit is None or row.resource not in limit.rate_by_resource:
            return 0.0
        if now_s < self._accrues_from_s:
            return 0.0
        if not self._homes.may_admit(team=row.team, limit=limit, now_s=now_s):
            return 0.0
        bucket = self._find_or_create_bucket(row.team, row.resource, limit)
        return bucket.lend(
            entry_id=entry_id, requested_per_s=row.rate_per_s, now_s=now_s
        )

    def _next_request_number(self, now_s):
        self._last_request_number += 1
        self._request_sent_s_by_number[self._last_request_number] = now_s
        return self._last_request_number

    def _forget_old_requests(self, now_s):
        for number, request_sent_s in list(
            self._request_sent_s_by_number.items()
        ):
            if now_s - request_sent_s < conf.LOAN_DURATION_S:
                break
            del self._request_sent_s_by_number[number]


def _requested_amount(event, resource):
    return event.tokens if resource is conf.Resource.TOKENS else 1.0
