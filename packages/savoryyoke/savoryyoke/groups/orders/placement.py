"""Decide the next order to the engine of one target.

Every target decides for itself, based on the operators' declaration and its
view of its peers. A version is rolled out to the targets in a fixed sequence:
a target starts only while fewer than ``max_unavailable`` targets before it
are unfinished. This limits the unavailable targets without coordination, and
the rollout of a version that fails to load stops at the first targets.
"""

import dataclasses

import xxhash

from savoryyoke.groups.orders import conf
from savoryyoke.groups.orders import messages


@dataclasses.dataclass(frozen=True, kw_only=True)
class Declaration:
    """Hold the declared state of the targets of one service.

    ``adapters`` is a sorted tuple of (name, version) pairs. ``roles`` holds
    (role, number of targets) pairs; the last role applies to all remaining
    targets, whatever its number.
    """

    revision: int
    model: str
    version: str
    adapters: tuple = ()
    roles: tuple = ()
    max_unavailable: int = 1


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoadFailure:
    """Count a target's failed attempts to carry out one order.

    ``last_s`` is the time of the last attempt. ``store_refused`` is true if
    the weight store rejected the load, which does not mean that the version
    is faulty.
    """

    content: object
    attempts: int
    last_s: float
    store_refused: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class TargetView:
    """Hold the state of one target.

    ``version`` is None while its engine has no version completely loaded.
    ``former_version`` is the version that it served last.
    ``has_pending_order`` is true while an order to its engine is in progress.
    """

    target_id: str
    version: str | None
    former_version: str | None = None
    adapters: tuple = ()
    role: str | None = None
    ready: bool = True
    in_flight: int = 0
    draining: bool = False
    has_pending_order: bool = False
    failure: LoadFailure | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Wait:
    """Do nothing until ``retry_at_s``, or until an event if it is None."""

    reason: str
    retry_at_s: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class StartDrain:
    """Stop accepting new work, so that the engine can be changed."""

    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class EndDrain:
    """Accept new work again."""

    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class SendOrder:
    """Send an order to the engine."""

    content: object
    reason: str


def decide_placement(declaration, own, peers_by_id, *, now_s):
    """Return a Wait, StartDrain, EndDrain or SendOrder for one target.

    ``own`` is the TargetView of the target, and ``peers_by_id`` holds those
    of all other targets of the service.
    """
    if own.has_pending_order:
        return Wait(reason='an order is in progress')
    views_by_id = {**peers_by_id, own.target_id: own}
    roles_by_id = _assign_roles(declaration, views_by_id)
    declared_role = roles_by_id[own.target_id]
    if _matches_declaration(declaration, declared_role, own):
        return _load_missing_adapter(declaration, own, now_s)
    content, reason = _choose_order_content(declaration, own, declared_role)
    decision = _send_or_wait(own, content, reason, now_s)
    if isinstance(decision, Wait):
        return _serve_while_waiting(declaration, own, decision)
    if own.version is None:
        return decision
    unfinished = _list_unfinished_predecessors(
        declaration, own, views_by_id, roles_by_id
    )
    if len(unfinished) >= declaration.max_unavailable:
        reason = (
            f'targets before this one are unfinished: {", ".join(unfinished)}'
        )
        return _serve_while_waiting(declaration, own, Wait(reason=reason))
    if not own.draining:
        return StartDrain(reason=reason)
    if own.in_flight:
        return Wait(reason=f'{own.in_flight} requests are in flight')
    return decision


def _end_drain_or_wait(own):
    if own.draining:
        return EndDrain(reason='the declared state is loaded')
    return Wait(reason='the declared state is loaded')


def _choose_order_content(declaration, own, declared_role):
    if own.version == declaration.version:
        reason = f'role {declared_role} is declared, not {own.role}'
        return messages.ChangeRole(role=declared_role), reason
    content = messages.LoadVersion(
        model=declaration.model, version=declaration.version
    )
    reason = f'version {declaration.version} is declared, not {own.version}'
    return content, reason


def _serve_while_waiting(declaration, own, wait):
    """Return the decision that keeps the target serving while it waits.

    If no version is loaded and the declared one is given up, the former
    version is loaded again.
    """
    if own.version is not None:
        return EndDrain(reason=wait.reason) if own.draining else wait
    is_given_up = wait.retry_at_s is None
    if not is_given_up or own.former_version in (
        None,
        declaration.version,
    ):
        return wait
    content = messages.LoadVersion(
        model=declaration.model, version=own.former_version
    )
    return SendOrder(content=content, reason=wait.reason)


def _load_missing_adapter(declaration, own, now_s):
    missing = sorted(set(declaration.adapters) - set(own.adapters))
    if not missing:
        return _end_drain_or_wait(own)
    adapter, version = missing[0]
    content = messages.LoadAdapter(adapter=adapter, version=version)
    reason = f'adapter {adapter} {version} is declared and not loaded'
    return _send_or_wait(own, content, reason, now_s)


def _send_or_wait(own, content, reason, now_s):
    """Return a SendOrder, or a Wait after failed attempts at this order."""
    failure = own.failure
    if failure is None or failure.content != content:
        return SendOrder(content=content, reason=reason)
    if not failure.store_refused:
        if failure.attempts >= conf.LOAD_ATTEMPTS_MAX:
            return Wait(reason=f'{failure.attempts} attempts have failed')
    retry_at_s = failure.last_s + _find_retry_delay_s(failure.attempts)
    if now_s < retry_at_s:
        cause = (
            'the weight store refused the load'
            if failure.store_refused
            else 'the last attempt failed'
        )
        return Wait(reason=cause, retry_at_s=retry_at_s)
    return SendOrder(
        content=content, reason=f'{reason}; retry after a failure'
    )


def _find_retry_delay_s(attempts):
    growth = conf.LOAD_RETRY_FACTOR ** min(attempts - 1, 32)
    return min(conf.LOAD_RETRY_FIRST_S * growth, conf.LOAD_RETRY_MAX_S)


def _list_unfinished_predecessors(declaration, own, views_by_id, roles_by_id):
    own_position = _find_position(declaration, own.target_id)
    return sorted(
        target_id
        for target_id, view in views_by_id.items()
        if _find_position(declaration, target_id) < own_position
        and not _is_finished(declaration, roles_by_id[target_id], view)
    )


def _is_finished(declaration, declared_role, view):
    is_serving = view.ready and not view.draining
    return is_serving and _matches_declaration(
        declaration, declared_role, view
    )


def _matches_declaration(declaration, declared_role, view):
    if view.version != declaration.version:
        return False
    return declared_role in (None, view.role)


def _find_position(declaration, target_id):
    """Return the sort key of a target in the rollout of a version.

    The sequence of the targets differs from version to version.
    """
    text = f'{declaration.model}/{declaration.version}/{target_id}'
    return (xxhash.xxh64_intdigest(text.encode()), target_id)


def _assign_roles(declaration, target_ids):
    """Return the role of each target.

    Targets are sorted by a hash of their id, so that few roles change when a
    target is added or removed.
    """
    roles_by_id = dict.fromkeys(target_ids)
    sorted_ids = sorted(
        target_ids,
        key=lambda target_id: (
            xxhash.xxh64_intdigest(target_id.encode()),
            target_id,
        ),
    )
    start = 0
    for role, count in declaration.roles[:-1]:
        roles_by_id.update(
            dict.fromkeys(sorted_ids[start : start + count], role)
        )
        start += count
    for role, _ in declaration.roles[-1:]:
        roles_by_id.update(dict.fromkeys(sorted_ids[start:], role))
    return roles_by_id
