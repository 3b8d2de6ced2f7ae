"""Decide what the engine of one target should load or become next.

Every target decides for itself from the operators' declaration and its view
of its peers. A version is rolled out in a fixed order of targets: one may
begin only while fewer than ``max_unavailable`` targets before it are not
done. So the bound holds without agreement, and a version that fails to load
stops at the first targets.
"""

import dataclasses

import xxhash

from savoryyoke.groups.orders import conf
from savoryyoke.groups.orders import messages


@dataclasses.dataclass(frozen=True, kw_only=True)
class Declaration:
    """Hold what operators declare for the targets of one service.

    ``adapters`` maps names to versions as a sorted tuple of pairs;
    ``roles`` holds (role, number of targets) pairs, the last of which takes
    all further targets.
    """

    revision: int
    model: str
    version: str
    adapters: tuple = ()
    roles: tuple = ()
    max_unavailable: int = 1


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoadFailure:
    """Count a target's failed loads of one order, with the last one's time.

    ``store_refused`` is true if the weight store turned the load away, which
    says nothing about the version.
    """

    content: object
    attempts: int
    last_s: float
    store_refused: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class TargetView:
    """Hold what is known of one target.

    ``version`` is None while no version is whole in its engine.
    ``former_version`` is the last one that served.
    """

    target_id: str
    version: str | None
    former_version: str | None = None
    adapters: tuple = ()
    role: str | None = None
    ready: bool = True
    in_flight: int = 0
    draining: bool = False
    busy: bool = False
    failure: LoadFailure | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Wait:
    """Do nothing for now; ``retry_at_s`` is None to wait for an event."""

    reason: str
    retry_at_s: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class StartDrain:
    """Stop taking new work, so that the engine can be changed."""

    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class EndDrain:
    """Take new work again."""

    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class GiveOrder:
    """Give the engine an order."""

    content: object
    reason: str


def decide_placement(declaration, own, peers_by_id, *, now_s):
    """Return the next decision of the target ``own``.

    ``peers_by_id`` holds the TargetView of each other target in service.
    """
    if own.busy:
        return Wait(reason='an order is under way')
    views_by_id = {**peers_by_id, own.target_id: own}
    roles_by_id = _assign_roles(declaration, views_by_id)
    wanted_role = roles_by_id[own.target_id]
    if _holds(declaration, wanted_role, own):
        return _load_adapter(declaration, own, now_s)
    content, reason = _choose_content(declaration, own, wanted_role)
    decision = _try_order(own, content, reason, now_s)
    if isinstance(decision, Wait):
        return _keep_serving(declaration, own, decision)
    if own.version is None:
        return decision
    ahead = _list_unfinished_ahead(declaration, own, views_by_id, roles_by_id)
    if len(ahead) >= declaration.max_unavailable:
        reason = f'targets before this one are not done: {", ".join(ahead)}'
        return _keep_serving(declaration, own, Wait(reason=reason))
    if not own.draining:
        return StartDrain(reason=reason)
    if own.in_flight:
        return Wait(reason=f'{own.in_flight} requests are in flight')
    return decision


def _finish(own):
    if own.draining:
        return EndDrain(reason='all that is declared is loaded')
    return Wait(reason='all that is declared is loaded')


def _choose_content(declaration, own, wanted_role):
    if own.version == declaration.version:
        reason = f'role {wanted_role} is declared, not {own.role}'
        return messages.ChangeRole(role=wanted_role), reason
    content = messages.LoadVersion(
        model=declaration.model, version=declaration.version
    )
    reason = f'version {declaration.version} is declared, not {own.version}'
    return content, reason


def _keep_serving(declaration, own, wait):
    """Serve what there is while the declared state has to wait."""
    if own.version is not None:
        return EndDrain(reason=wait.reason) if own.draining else wait
    given_up = wait.retry_at_s is None
    if not given_up or own.former_version in (None, declaration.version):
        return wait
    content = messages.LoadVersion(
        model=declaration.model, version=own.former_version
    )
    return GiveOrder(content=content, reason=wait.reason)


def _load_adapter(declaration, own, now_s):
    missing = sorted(set(declaration.adapters) - set(own.adapters))
    if not missing:
        return _finish(own)
    adapter, version = missing[0]
    content = messages.LoadAdapter(adapter=adapter, version=version)
    reason = f'adapter {adapter} {version} is declared and not loaded'
    return _try_order(own, content, reason, now_s)


def _try_order(own, content, reason, now_s):
    failure = own.failure
    if failure is None or failure.content != content:
        return GiveOrder(content=content, reason=reason)
    if not failure.store_refused:
        if failure.attempts >= conf.LOAD_ATTEMPTS_MAX:
            return Wait(reason=f'{failure.attempts} attempts have failed')
    retry_at_s = failure.last_s + _find_delay_s(failure.attempts)
    if now_s < retry_at_s:
        cause = 'the store refused' if failure.store_refused else 'it failed'
        return Wait(reason=cause, retry_at_s=retry_at_s)
    return GiveOrder(content=content, reason=f'{reason}; tried again')


def _find_delay_s(attempts):
    growth = conf.LOAD_RETRY_FACTOR ** min(attempts - 1, 32)
    return min(conf.LOAD_RETRY_FIRST_S * growth, conf.LOAD_RETRY_MAX_S)


def _list_unfinished_ahead(declaration, own, views_by_id, roles_by_id):
    place = _find_place(declaration, own.target_id)
    return sorted(
        target_id
        for target_id, view in views_by_id.items()
        if _find_place(declaration, target_id) < place
        and not _is_done(declaration, roles_by_id[target_id], view)
    )


def _is_done(declaration, wanted_role, view):
    serving = view.ready and not view.draining
    return serving and _holds(declaration, wanted_role, view)


def _holds(declaration, wanted_role, view):
    if view.version != declaration.version:
        return False
    return wanted_role in (None, view.role)


def _find_place(declaration, target_id):
    """Return the target's place in the rollout; it differs by version."""
    text = f'{declaration.model}/{declaration.version}/{target_id}'
    return (xxhash.xxh64_intdigest(text.encode()), target_id)


def _assign_roles(declaration, target_ids):
    """Return roles by target; few change when a target comes or goes."""
    roles_by_id = dict.fromkeys(target_ids)
    ids = sorted(
        target_ids,
        key=lambda each: (xxhash.xxh64_intdigest(each.encode()), each),
    )
    start = 0
    for role, count in declaration.roles[:-1]:
        roles_by_id.update(dict.fromkeys(ids[start : start + count], role))
        start += count
    for role, _ in declaration.roles[-1:]:
        roles_by_id.update(dict.fromkeys(ids[start:], role))
    return roles_by_id
