"""Print the merged file with every default written out.

Usage: savoryyoke render BASE [OVERLAY]
"""

import yaml

from savoryyoke.configuration import documents
from savoryyoke_edge.command_line import results
from savoryyoke_entry.commands import files


def render(base, overlay=None):
    """Print the configuration that the files give."""
    outcome = files.require(base, overlay)
    if isinstance(outcome, results.Result):
        return outcome
    plain = documents.to_plain(outcome.configuration)
    text = yaml.safe_dump(plain, sort_keys=False, default_flow_style=False)
    return results.Result(
        lines=(f'# digest {outcome.digest}', text.rstrip('\n'))
    )
