"""What each identifier of a fault means, for the reference."""

from savoryyoke.configuration import faults

MEANINGS_BY_ID = {
    faults.TOO_LARGE: 'A text is larger than the limit.',
    faults.SYNTAX: 'A text is not one well-formed YAML document.',
    faults.DUPLICATE_KEY: 'A mapping holds the same key twice.',
    faults.ALIAS: 'A text holds an anchor or an alias.',
    faults.TAG: 'A value has a tag.',
    faults.KEY_NOT_TEXT: 'A key is a mapping, a list or an alias.',
    faults.TOO_DEEP: 'A text nests deeper than the limit.',
    faults.NOT_A_MAPPING: 'A text is not a mapping.',
    faults.UNKNOWN_NAME: 'An overlay uses a name that the base lacks.',
    faults.FIXED_FIELD: 'An overlay changes what all sites must agree on.',
    faults.SHAPE: 'Only one of base and overlay holds a mapping here.',
    faults.NOTHING_TO_DELETE: 'A null deletes a key that the base lacks.',
    faults.NAME_DELETED: 'An overlay deletes a name.',
    faults.UNKNOWN_VERSION: 'This release does not know the schema version.',
    faults.MISSING: 'A required field is missing.',
    faults.UNKNOWN_FIELD: 'There is no such field.',
    faults.INVALID: 'A value has the wrong type or is out of bounds.',
    faults.ROUTE_OVERLAP: 'A request could belong to two operations.',
    faults.SHARED_API_KEY: 'Two teams have the same API key.',
    faults.UNKNOWN_DEFAULT: 'The default version is not among the versions.',
    faults.COLD_ABOVE_WARM: 'A cold target would get more than a warm one.',
    faults.ALL_OUT: 'Every data centre is out.',
    faults.MORE_FAULTS: 'There are more faults than are shown.',
}
