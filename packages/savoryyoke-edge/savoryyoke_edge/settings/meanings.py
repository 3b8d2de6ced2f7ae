"""What each identifier of a fault means, for the reference."""

from savoryyoke_edge.settings import checks

MEANINGS_BY_ID = {
    checks.UNKNOWN_FLAG: 'There is no such flag.',
    checks.UNKNOWN_VARIABLE: 'There is no such environment variable.',
    checks.MISSING: 'A required setting has no value.',
    checks.INVALID: 'A value has the wrong form or is out of bounds.',
    checks.NOT_ADVERTISED: 'Others could not connect to the address.',
    checks.UNPROTECTED_ADMIN: 'Anyone could drain the process.',
}
