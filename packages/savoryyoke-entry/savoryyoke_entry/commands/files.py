"""Read and check the operators' files that are named to commands."""

import pathlib

from savoryyoke.configuration import conf
from savoryyoke.configuration import documents
from savoryyoke.configuration import faults
from savoryyoke_edge.command_line import exceptions
from savoryyoke_edge.command_line import results


def read(path):
    """Return the text of the file at ``path``.

    Raise ``CommandError`` where it cannot be read as UTF-8.
    """
    try:
        with pathlib.Path(path).open('rb') as file:
            # One byte more shows that the file is too large.
            content = file.read(conf.TEXT_LIMIT_BYTES + 1)
        return content.decode('utf-8')
    except OSError as error:
        reason = error.strerror or 'it cannot be read'
        raise exceptions.CommandError(problem=f'{path}: {reason}') from None
    except UnicodeDecodeError as error:
        raise exceptions.CommandError(
            problem=f'{path}: byte {error.start} is not UTF-8'
        ) from None


def judge(base, overlay):
    """Return the ``Accepted`` or refused outcome of two files.

    ``overlay`` is None if there is only the base.
    """
    overlay_text = '' if overlay is None else read(overlay)
    return documents.build(read(base), overlay_text)


def describe(found, *, base, overlay):
    """Yield a line for each fault, with the file that contains it."""
    for fault in found:
        path = overlay if fault.source is faults.Source.OVERLAY else base
        place = f'{path}: {fault.path}'.removesuffix(': ')
        yield f'{place}: {fault.problem}. {fault.hint}. [{fault.id}]'


def require(base, overlay):
    """Return the ``Accepted`` outcome, or a ``Result`` with the faults."""
    outcome = judge(base, overlay)
    if isinstance(outcome, documents.Accepted):
        return outcome
    return results.Result(
        problems=tuple(describe(outcome.faults, base=base, overlay=overlay)),
        status=results.ExitStatus.NEGATIVE,
    )
