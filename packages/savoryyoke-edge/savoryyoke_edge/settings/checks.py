"""Checks that involve more than one setting."""

import functools

from savoryyoke_edge.settings import exceptions
from savoryyoke_edge.settings import schema

UNKNOWN_FLAG = 'savoryyoke.E001'
UNKNOWN_VARIABLE = 'savoryyoke.E002'
MISSING = 'savoryyoke.E003'
INVALID = 'savoryyoke.E004'
NOT_ADVERTISED = 'savoryyoke.E005'
UNPROTECTED_ADMIN = 'savoryyoke.E006'


@functools.singledispatch
def check(settings):
    """Yield a ``SettingsFault`` for each conflict between valid fields."""
    raise TypeError(f'no checks for {type(settings).__name__}')


@check.register
def _check_entry(settings: schema.EntrySettings):
    yield from _check_admin(settings)
    yield from _check_control(settings)
    yield from _check_advertised(
        settings.listen_address,
        settings.advertised_address,
        'advertised_address',
    )


@check.register
def _check_target(settings: schema.TargetSettings):
    yield from _check_admin(settings)
    yield from _check_control(settings)


def _check_control(settings):
    yield from _check_advertised(
        settings.control_address,
        settings.advertised_control_address,
        'advertised_control_address',
    )


def _check_admin(settings):
    if settings.admin_address.is_loopback or settings.admin_token is not None:
        return
    yield _fault(
        UNPROTECTED_ADMIN,
        'admin_token',
        f'anyone who can connect to {settings.admin_address} could drain'
        ' this process',
        'Set an admin token or listen on a loopback address',
    )


def _check_advertised(bound, advertised, name):
    if advertised is not None or not bound.is_wildcard:
        return
    yield _fault(
        NOT_ADVERTISED,
        name,
        f'other processes cannot connect to {bound}',
        'Set it to the IP address and port that other processes connect to',
    )


def _fault(fault_id, name, problem, hint):
    return exceptions.SettingsFault(
        id=fault_id,
        source='settings',
        name=name,
        problem=problem,
        hint=hint,
    )
