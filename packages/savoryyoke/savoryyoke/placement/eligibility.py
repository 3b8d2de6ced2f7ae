"""Decide which published targets a configuration lets requests be sent to.

Targets are compared with each other only after this, so that a value that
names no usable target can't take the place of one that does.
"""


def find_problem(target, catalogue):
    """Return why a target must not be used, or None if it may be.

    ``catalogue`` is the ``Catalogue`` in force.
    """
    if target.service_name not in catalogue.service_names:
        return 'unknown-service'
    service = catalogue.services_by_name.get(target.service_name)
    if service is None or service.group_shape is None or target.group:
        return None
    return 'no-group'
