"""Publish an operators' file and a list of VMs on the fake platform."""

import pathlib

import fire

from savoryyoke_fakes import clients


def publish(platform, base, entry, target, overlay=None, site='demo'):
    """Publish the file ``base`` and one entry and one target.

    ``entry`` is ``id,data-centre,address,control-address`` and ``target`` is
    ``id,data-centre,service,address,control-address``. Without ``overlay``
    the site's overlay is empty.
    """
    _publish_value(platform, 'base', base)
    _publish_value(platform, f'overlay/{site}', overlay)
    rows = [_build_entry(entry), _build_target(target)]
    clients.call('POST', platform, '/control/vms', body={'vms': rows})


def _publish_value(platform, name, path):
    text = pathlib.Path(path).read_text() if path else ''
    clients.call(
        'POST', platform, '/control/publish', body={'name': name, 'text': text}
    )


def _build_entry(parts):
    vm_id, data_centre, address, control_address = _split(parts)
    return {
        'vm_id': vm_id,
        'role': 'entry',
        'data_centre': data_centre,
        'state': 'live',
        'address': address,
        'control_address': control_address,
    }


def _build_target(parts):
    vm_id, data_centre, service, address, control_address = _split(parts)
    return {
        'vm_id': vm_id,
        'role': 'target',
        'service': service,
        'data_centre': data_centre,
        'state': 'live',
        'address': address,
        'control_address': control_address,
    }


def _split(parts):
    """Return the fields of a flag; fire parses some of them into a tuple."""
    return parts.split(',') if isinstance(parts, str) else list(parts)


if __name__ == '__main__':
    fire.Fire(publish)
