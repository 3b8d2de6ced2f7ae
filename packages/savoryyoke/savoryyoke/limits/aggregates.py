"""Admit or refuse calls by their team's limits at one entry."""

import dataclasses
import functools

from savoryyoke.admission import promises
from savoryyoke.limits import buckets
from savoryyoke.limits import conf
from savoryyoke.limits import decisions
from savoryyoke.limits import events
from savoryyoke.limits import exceptions
from savoryyoke.limits import homes

_RETRY_BUSY_S = 1.0
_NUMBER_BITS = 32
_REASON_BY_RESOURCE = {
    conf.Resource.REQUESTS: decisions.LimitReason.REQUEST_RATE,
    conf.Resource.TOKENS: decisions.LimitReason.TOKEN_RATE,
}


@dataclasses.dataclass(kw_only=True)
class _RunningCall:
    team: str
    tokens: float


class TeamLimits:
    """Enforce this entry's part of each team's limits.

    A team's limit is divided evenly between its home entries. A home
    with too little borrows from the others; a loan counts against the
    lender from its grant and for the borrower from its ask, so that no
    delay lets both use it.
    """

    def __init__(self, *, entry_id, incarnation, now_s):
        self._entry_id = entry_id
        self._homes = homes.HomeHistory(entry_id=entry_id)
        self._limits_by_team = {}
        self._buckets_by_key = {}
        self._retries = promises.RetrySchedule()
        self._running_by_id = {}
        self._running_by_team = {}
        self._asked_s_by_number = {}
        # Grants to an earlier process of this entry must not match.
        self._number = incarnation << _NUMBER_BITS
        self._next_ask = 0
        self._heartbeat_s = now_s
        # A process before this one may have lent its part out.
        self._accrues_from_s = now_s + conf.LOAN_S

    def homes(self, *, team):
        """Return the entries that a caller of the team may use.

        The tuple is empty for a team without limits: any entry will do.
        """
        limit = self._limits_by_team.get(team)
        if limit is None:
            return ()
        return self._homes.homes(team=team, limit=limit)

    def apply(self, event, *, now_s):
        """Take in an event and return the decisions that follow from it.

        Raises UnknownEvent for other types.
        """
        return self._apply(event, now_s)

    @functools.singledispatchmethod
    def _apply(self, event, now_s):
        raise exceptions.UnknownEvent(type(event).__name__)

    @_apply.register
    def _(self, event: events.EntriesListed, now_s):
        self._homes.change(entry_ids=event.entry_ids, now_s=now_s)
        self._rebase(now_s)
        return ()

    @_apply.register
    def _(self, event: events.LimitsPublished, now_s):
        self._limits_by_team = {
            team: limit
            for team, limit in event.limits_by_team.items()
            if limit.bounded
        }
        self._homes.forget_choices()
        self._rebase(now_s)
        return ()

    @_apply.register
    def _(self, event: events.CallArrived, now_s):
        limit = self._limits_by_team.get(event.team)
        if limit is None:
            return (decisions.Admit(call_id=event.call_id),)
        refusal = self._objection(event, limit, now_s)
        if refusal is not None:
            return (refusal,)
        for resource in limit.rate_by_resource:
            bucket = self._buckets_by_key[event.team, resource]
            bucket.spend(_amount(event, resource))
        self._running_by_id[event.call_id] = _RunningCall(
            team=event.team, tokens=event.tokens
        )
        running = self._running_by_team.get(event.team, 0)
        self._running_by_team[event.team] = running + 1
        return (decisions.Admit(call_id=event.call_id),)

    @_apply.register
    def _(self, event: events.CallEnded, now_s):
        call = self._running_by_id.pop(event.call_id, None)
        if call is None:
            return ()
        self._running_by_team[call.team] -= 1
        bucket = self._buckets_by_key.get((call.team, conf.Resource.TOKENS))
        if bucket is not None and event.tokens is not None:
            bucket.spend(event.tokens - call.tokens)
        return ()

    @_apply.register
    def _(self, event: events.HeartbeatDue, now_s):
        passed_s = now_s - self._heartbeat_s
        self._heartbeat_s = now_s
        self._forget_asks(now_s)
        rows_by_entry = {}
        for team, resource in self._keys_in_turn():
            bucket = self._buckets_by_key[team, resource]
            self._ask(team, resource, bucket, rows_by_entry, now_s)
            bucket.decay_demand(passed_s=passed_s)
        return tuple(
            decisions.SendAsk(entry_id=entry_id, rows=tuple(rows))
            for entry_id, rows in rows_by_entry.items()
        )

    @_apply.register
    def _(self, event: events.AskReceived, now_s):
        granted = []
        for row in event.rows:
            rate = self._lend(event.entry_id, row, now_s)
            if rate > 0:
                granted.append(
                    decisions.GrantRow(
                        team=row.team,
                        resource=row.resource,
                        rate_per_s=rate,
                        number=row.number,
                    )
                )
        if not granted:
            return ()
        return (
            decisions.SendGrant(entry_id=event.entry_id, rows=tuple(granted)),
        )

    @_apply.register
    def _(self, event: events.GrantReceived, now_s):
        for row in event.rows:
            asked_s = self._asked_s_by_number.get(row.number)
            bucket = self._buckets_by_key.get((row.team, row.resource))
            if asked_s is None or bucket is None:
                continue
            loan = buckets.Loan(
                rate_per_s=row.rate_per_s, until_s=asked_s + conf.LOAN_S
            )
            bucket.borrow(entry_id=event.entry_id, loan=loan, now_s=now_s)
        return ()

    def _objection(self, event, limit, now_s):
        allowed = self._homes.may_admit(
            team=event.team, limit=limit, now_s=now_s
        )
        if not allowed:
            return self._refusal(event, decisions.LimitReason.OTHER_ENTRY, 0.0)
        refusal = None
        for resource in limit.rate_by_resource:
            bucket = self._bucket(event.team, resource, limit)
            bucket.settle(now_s=now_s)
            amount = _amount(event, resource)
            bucket.observe_demand(amount)
            if not bucket.covers(amount):
                refusal = self._refuse_for_now(event, resource, bucket, now_s)
        if refusal is None and self._concurrency_used_up(event.team, limit):
            reason = decisions.LimitReason.CONCURRENCY
            refusal = self._refusal(event, reason, _RETRY_BUSY_S)
        return refusal

    def _concurrency_used_up(self, team, limit):
        if limit.max_concurrency is None:
            return False
        chosen = self._homes.homes(team=team, limit=limit)
        part, rest = divmod(limit.max_concurrency, max(len(chosen), 1))
        # The first homes take one each of what does not divide evenly.
        if self._entry_id in chosen[:rest]:
            part += 1
        return self._running_by_team.get(team, 0) >= part

    def _refuse_for_now(self, event, resource, bucket, now_s):
        amount = _amount(event, resource)
        retry_after_s = self._retries.retry_after_s(
            team=event.team,
            wait_s=bucket.wait_s(amount, now_s=now_s),
            service_s=amount / bucket.rate_per_s,
            now_s=now_s,
        )
        reason = _REASON_BY_RESOURCE[resource]
        return self._refusal(event, reason, retry_after_s)

    def _refusal(self, event, reason, retry_after_s):
        return decisions.RefuseByLimit(
            call_id=event.call_id,
            reason=reason,
            retry_after_s=retry_after_s,
            entry_ids=self.homes(team=event.team),
        )

    def _bucket(self, team, resource, limit):
        key = (team, resource)
        if key not in self._buckets_by_key:
            self._buckets_by_key[key] = buckets.Bucket(
                base_per_s=self._base_per_s(team, resource, limit),
                accrues_from_s=self._accrues_from_s,
            )
        return self._buckets_by_key[key]

    def _base_per_s(self, team, resource, limit):
        chosen = self._homes.homes(team=team, limit=limit)
        return limit.rate_by_resource[resource] / max(len(chosen), 1)

    def _rebase(self, now_s):
        kept = {}
        for (team, resource), bucket in self._buckets_by_key.items():
            limit = self._limits_by_team.get(team)
            if limit is None or resource not in limit.rate_by_resource:
                continue
            base_per_s = self._base_per_s(team, resource, limit)
            bucket.change_base(base_per_s=base_per_s, now_s=now_s)
            kept[team, resource] = bucket
        self._buckets_by_key = kept

    def _keys_in_turn(self):
        # Asks beyond one heartbeat's room go first with the next one.
        keys = list(self._buckets_by_key)
        first = self._next_ask % max(len(keys), 1)
        self._next_ask = first
        return keys[first:] + keys[:first]

    def _ask(self, team, resource, bucket, rows_by_entry, now_s):
        bucket.settle(now_s=now_s)
        wanted = bucket.demand_per_s - bucket.base_per_s
        others = [e for e in self.homes(team=team) if e != self._entry_id]
        rows = sum(len(rows) for rows in rows_by_entry.values())
        if rows + len(others) > conf.ROWS_PER_HEARTBEAT:
            return
        self._next_ask += 1
        if wanted <= 0:
            return
        for entry_id in others:
            missing = wanted - bucket.borrowed_per_s(except_from=entry_id)
            if missing <= 0:
                continue
            row = decisions.AskRow(
                team=team,
                resource=resource,
                rate_per_s=missing,
                number=self._next_number(now_s),
            )
            rows_by_entry.setdefault(entry_id, []).append(row)

    def _lend(self, entry_id, row, now_s):
        limit = self._limits_by_team.get(row.team)
        if limit is None or row.resource not in limit.rate_by_resource:
            return 0.0
        if now_s < self._accrues_from_s:
            return 0.0
        if not self._homes.may_admit(team=row.team, limit=limit, now_s=now_s):
            return 0.0
        bucket = self._bucket(row.team, row.resource, limit)
        return bucket.lend(
            entry_id=entry_id, asked_per_s=row.rate_per_s, now_s=now_s
        )

    def _next_number(self, now_s):
        self._number += 1
        self._asked_s_by_number[self._number] = now_s
        return self._number

    def _forget_asks(self, now_s):
        for number, asked_s in list(self._asked_s_by_number.items()):
            if now_s - asked_s < conf.LOAN_S:
                break
            del self._asked_s_by_number[number]


def _amount(event, resource):
    return event.tokens if resource is conf.Resource.TOKENS else 1.0
