"""Write the reference pages on settings, operators' file and problem types.

Run with ``--check`` to compare the pages with the code instead; the exit
status is 1 if a page differs. ``--directory`` gives a directory other than
``docs/ref``.
"""

import argparse
import pathlib
import sys

from savoryyoke.configuration import conf
from savoryyoke.configuration import meanings
from savoryyoke.configuration import schema
from savoryyoke_edge import problems
from savoryyoke_edge.settings import loader
from savoryyoke_edge.settings import meanings as settings_meanings
from savoryyoke_edge.settings import schema as settings_schema

DIRECTORY = pathlib.Path(__file__).resolve().parent.parent / 'docs' / 'ref'
NOTICE = '<!-- Written by tools/generate_reference.py; change the code. -->'

SETTINGS_INTRODUCTION = """\
# Settings of the processes

Each setting is a flag, `--vm-id=entry-1`, or an environment variable,
`SAVORYYOKE_ENTRY_VM_ID=entry-1`. A flag overrides a variable. Unknown flags,
and unknown variables that begin with the prefix of the process, are refused.
All faults are reported at once, one line each, and the exit status is 2.
`--print-settings` prints the settings in force, without secrets, and stops.
Addresses are IP numbers with a port, `127.0.0.1:8080` or `[::1]:8080`."""

VERSIONS = ', '.join(str(version) for version in conf.SCHEMA_VERSIONS)
FILE_INTRODUCTION = f"""\
# The operators' file

One base applies to all sites; each site may have one overlay. Both are YAML.
Examples are in `examples/`; `savoryyoke check`, `render`, `diff` and `explain`
read the files before they are published.

## Text

A text has at most {conf.TEXT_LIMIT_BYTES} bytes and {conf.DEPTH_LIMIT} levels.
Anchors, aliases, tags, duplicate keys and further documents are refused.
Scalars follow YAML 1.2: only `true` and `false` are booleans, and `12:30` is
text. Names consist of letters, digits, `.`, `_` and `-`, begin with a letter
or a digit and have at most 63 characters.

## How an overlay is merged

- Mappings merge by key.
- Scalars and lists replace those of the base.
- `null` deletes an optional key of the base, so that its default applies.
- An overlay cannot add or delete a data centre, service, model, operation or
  team.
- An overlay cannot change `schema_version`, the `kind` of a service, or the
  `method`, `path` and `idempotent` of an operation: a request may be retried
  through an entry of another site, which must treat it in the same way.

## What is in force

A base with its overlay is accepted or refused as a whole; if it is refused,
the last accepted one stays in force. The revisions of base and overlay are
compared separately: a process applies a pair only if neither revision is older
than the one it has. The digest of an accepted pair depends on its meaning
alone, so processes of one site that report the same digest have the same
configuration.

Schema versions that this release supports: {VERSIONS}. The fields, defaults
and checks of a version never change. Raise the version in the file only after
every process runs a release that supports it."""

PROBLEMS_INTRODUCTION = f"""\
# Problem types

A refusal is a problem (RFC 9457) with one of these types, each behind
`{problems.TYPE_PREFIX}`. Its member `outcome` says whether the call ran:

- `not-run`: the call did not run, and no attempt sent so far can still run;
- `may-have-run`: the call may or may not have run; a repeat with the same key
  is safe;
- `ran`: the call ran once.

Further members: `reason`, `detail`, `retry_after_s` (also as `Retry-After`,
rounded up), `same_key_may_return`, and `binding` for new keys."""

SECTIONS = (
    ('whole file', schema.Configuration),
    ('data_centres.NAME', schema.DataCentre),
    ('services.NAME (model_group)', schema.ModelGroup),
    ('services.NAME (application)', schema.Application),
    ('services.NAME.models.NAME', schema.Model),
    ('services.NAME.operations.NAME', schema.Operation),
    ('services.NAME.retry', 'Retry'),
    ('services.NAME.warm_up', 'WarmUp'),
    ('services.NAME.admission', 'Admission'),
    ('teams.NAME', schema.Team),
)


def build_settings_page():
    """Return the text of the page on settings."""
    sections = [NOTICE, SETTINGS_INTRODUCTION]
    for model in (
        settings_schema.EntrySettings,
        settings_schema.TargetSettings,
    ):
        sections.append(f'## {model.__name__}\n\n{model.__doc__}')
        sections.append(_build_settings_table(model))
    sections.append('## Faults')
    sections.append(_build_faults_table(settings_meanings.MEANINGS_BY_ID))
    return '\n\n'.join(sections) + '\n'


def build_file_page():
    """Return the text of the page on the operators' file."""
    definitions = _collect_definitions()
    sections = [NOTICE, FILE_INTRODUCTION, '## Fields']
    for title, model in SECTIONS:
        name = model if isinstance(model, str) else model.__name__
        definition = definitions[name]
        sections.append(f'### `{title}`\n\n{definition["description"]}')
        sections.append(_build_fields_table(definition, definitions))
    sections.append('## Faults')
    sections.append(_build_faults_table(meanings.MEANINGS_BY_ID))
    return '\n\n'.join(sections) + '\n'


def build_problems_page():
    """Return the text of the page on problem types."""
    rows = [
        (f'`{kind.name}`', str(kind.status), f'`{kind.outcome}`', kind.advice)
        for kind in problems.PROBLEM_TYPES_BY_NAME.values()
    ]
    header = ('Type', 'Status', 'Outcome', 'What the caller does')
    parts = (NOTICE, PROBLEMS_INTRODUCTION, _build_table(header, rows))
    return '\n\n'.join(parts) + '\n'


PAGES_BY_NAME = {
    'settings.md': build_settings_page,
    'operators-file.md': build_file_page,
    'problems.md': build_problems_page,
}


def _build_settings_table(model):
    rows = []
    for name, field in model.model_fields.items():
        flag = f'`{loader.flag_name(name)}`'
        variable = f'`{loader.variable_name(model, name)}`'
        default = _render_default(field)
        rows.append((flag, variable, default, field.description))
    return _build_table(('Flag', 'Variable', 'Default', 'Meaning'), rows)


def _render_default(field):
    if field.is_required():
        return 'required'
    if field.default is None:
        return 'unset'
    return f'`{field.default}`'


def _collect_definitions():
    document = schema.Configuration.model_json_schema()
    return {**document['$defs'], 'Configuration': document}


def _build_fields_table(definition, definitions):
    required = definition.get('required', ())
    rows = []
    for name, field in definition['properties'].items():
        value_schema = _resolve_schema(field, definitions)
        if name in required:
            default = 'required'
        else:
            default = _render_json_default(field.get('default'))
        description = field.get('description') or value_schema['description']
        rows.append(
            (f'`{name}`', _describe_type(value_schema), default, description)
        )
    return _build_table(('Field', 'Type', 'Default', 'Meaning'), rows)


def _resolve_schema(field, definitions):
    for choice in field.get('anyOf', ()):
        if choice.get('type') != 'null':
            return choice
    if '$ref' in field:
        return definitions[field['$ref'].rpartition('/')[2]]
    return field


def _render_json_default(value):
    if value is None:
        return 'unset'
    if isinstance(value, dict):
        return 'its defaults'
    if isinstance(value, bool):
        return f'`{str(value).lower()}`'
    return f'`{value}`'


def _describe_type(field):
    if 'enum' in field:
        return 'one of ' + ', '.join(f'`{item}`' for item in field['enum'])
    type_name = {'object': 'mapping', 'array': 'list', 'string': 'text'}.get(
        field['type'], field['type']
    )
    bounds = [
        f'{sign} {field[key]:.10g}'
        for key, sign in (
            ('exclusiveMinimum', '>'),
            ('minimum', '>='),
            ('maximum', '<='),
        )
        if key in field
    ]
    return ', '.join([type_name, *bounds])


def _build_faults_table(meanings_by_id):
    rows = [(f'`{id_}`', text) for id_, text in meanings_by_id.items()]
    return _build_table(('Identifier', 'Meaning'), rows)


def _build_table(header, rows):
    lines = [header, tuple('---' for _ in header), *rows]
    return '\n'.join(f'| {" | ".join(line)} |' for line in lines)


def main():
    """Write or compare the pages and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--check', action='store_true')
    parser.add_argument('--directory', type=pathlib.Path, default=DIRECTORY)
    options = parser.parse_args()
    differing_pages = []
    for name, build in PAGES_BY_NAME.items():
        path = options.directory / name
        text = build()
        if path.exists() and path.read_text() == text:
            continue
        differing_pages.append(name)
        if not options.check:
            path.parent.mkdir(parents=True, exist_ok=True)
            path.write_text(text)
    state = 'differs from the code' if options.check else 'written'
    for name in differing_pages:
        print(f'{name}: {state}')
    return 1 if options.check and differing_pages else 0


if __name__ == '__main__':
    sys.exit(main())
