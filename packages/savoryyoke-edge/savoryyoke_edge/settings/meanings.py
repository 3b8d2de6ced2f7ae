"""Meanings of the fault identifiers, for the reference pages."""

from savoryyoke_edge.settings import checks

MEANINGS_BY_ID = {
    checks.UNKNOWN_FLAG: 'There is no such flag.',
    checks.UNKNOWN_VARIABLE: 'There is no such environment variable.',
    checks.MISSING: 'A required setting has no value.',
    checks.INVALID: 'A value has the wrong form or is out of bounds.',
    checks.NOT_ADVERTISED: 'Other processes could not connect to the address.',
    checks.UNPROTECTED_ADMIN: 'Draining the process would need no token.',
}
