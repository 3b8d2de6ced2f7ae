"""Meanings of the fault identifiers, for the reference pages."""

from savoryyoke.configuration import faults

MEANINGS_BY_ID = {
    faults.TOO_LARGE: 'A text is larger than the limit.',
    faults.SYNTAX: 'A text is not one well-formed YAML document.',
    faults.DUPLICATE_KEY: 'A mapping contains the same key twice.',
    faults.ALIAS: 'A text contains an anchor or an alias.',
    faults.TAG: 'A value has a tag.',
    faults.KEY_NOT_SCALAR: 'A key is a mapping or a list.',
    faults.TOO_DEEP: 'A text is nested deeper than the limit.',
    faults.NOT_A_MAPPING: 'A text is not a mapping.',
    faults.UNKNOWN_NAME: 'An overlay uses a name that is not in the base.',
    faults.FIXED_FIELD: (
        'An overlay changes a field that must be the same at all sites.'
    ),
    faults.MAPPING_MISMATCH: (
        'The value is a mapping in only one of base and overlay.'
    ),
    faults.NOTHING_TO_DELETE: 'A null deletes a key that is not in the base.',
    faults.NAME_DELETED: 'An overlay deletes a named item of the base.',
    faults.UNKNOWN_VERSION: 'The schema version is not supported.',
    faults.MISSING: 'A required field is missing.',
    faults.UNKNOWN_FIELD: 'There is no such field.',
    faults.INVALID: 'A value has the wrong type or is out of bounds.',
    faults.ROUTE_OVERLAP: 'A request could match two operations.',
    faults.SHARED_API_KEY: 'Two teams have the same API key.',
    faults.UNKNOWN_DEFAULT: 'The default version is not among the versions.',
    faults.INITIAL_ABOVE_MAXIMUM: (
        'The concurrency of a cold target is above that of a warm one.'
    ),
    faults.ALL_DATA_CENTRES_OUT: 'Every data centre is out.',
    faults.MORE_FAULTS: 'There are further faults that are not shown.',
}
