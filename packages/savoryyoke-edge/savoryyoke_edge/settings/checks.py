"""Checks that concern more than one setting."""

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
    """Return the faults between the fields of valid settings."""
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
        f'anyone who reaches {settings.admin_address} may drain this process',
        'Set an admin token or listen on a loopback address',
    )


def _check_advertised(bound, advertised, name):
    if advertised is not None or not bound.is_wildcard:
        return
    yield _fault(
        NOT_ADVERTISED,
        name,
        f'others cannot connect to {bound}',
        'Advertise the IP number and port that others use',
    )


def _fault(id_, name, problem, hint):
    return exceptions.SettingsFault(
        id=id_,
        source='settings',
        name=name,
        problem=problem,
        hint=hint,
    )
