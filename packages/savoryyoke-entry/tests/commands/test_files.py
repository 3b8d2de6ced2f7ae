"""Test the commands that read the operators' files."""

import json
import pathlib
import tempfile
import unittest

from savoryyoke.configuration import documents
from savoryyoke.configuration import faults
from savoryyoke_edge.command_line import results
from tests.commands import console

STATUS = results.ExitStatus
PRAGUE = console.FUND.with_name('prague.yaml')


class FileTestCase(unittest.TestCase):
    """Provide a directory for files that a test writes."""

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = pathlib.Path(directory.name)

    def write(self, name, text):
        """Write a file and return its path."""
        path = self.directory / name
        path.write_text(text)
        return path


class CheckTest(FileTestCase):
    """Test the command check."""

    def test_examples_are_valid(self):
        for base in sorted(console.EXAMPLES.glob('*/base.yaml')):
            overlays = [
                path
                for path in sorted(base.parent.glob('*.yaml'))
                if path != base
            ]
            run = console.run('check', base, *overlays)
            self.assertEqual((run.status, run.errors), (STATUS.OK, ''))
            self.assertEqual(len(run.output.splitlines()), len(overlays) + 1)
            self.assertGreaterEqual(len(overlays), 2)

    def test_each_fault_has_a_line_with_its_file(self):
        text = console.FUND.read_text().replace('weight: 8', 'weight: -8')
        base = self.write('base.yaml', text)
        overlay = self.write('site.yaml', 'teams:\n  refunds: {weihgt: 1}\n')
        run = console.run('check', base, overlay)
        self.assertEqual(run.status, STATUS.NEGATIVE)
        lines = run.errors.splitlines()
        self.assertEqual(len(lines), 3)
        self.assertTrue(
            lines[0].startswith(f'{base}: teams.case-officers.weight: -8')
        )
        self.assertTrue(
            lines[2].startswith(f'{overlay}: teams.refunds.weihgt: ')
        )
        self.assertIn('Did you mean weight', lines[2])

    def test_differences_from_the_version_in_force(self):
        """Check that they are listed and don't make the status negative."""
        text = console.FUND.read_text()
        new = self.write(
            'new.yaml', text.replace('    weight: 0.5\n', '    weight: 1.5\n')
        )
        run = console.run('check', new, PRAGUE, '--against', console.FUND)
        self.assertEqual((run.status, run.errors), (STATUS.OK, ''))
        line = '~ teams.nightly-batch.weight: 0.5 -> 1.5\n'
        self.assertEqual(run.output.count(line), 2)
        self.assertEqual(len(run.output.splitlines()), 4)
        run = console.run('check', new, '--against', new)
        self.assertEqual(len(run.output.splitlines()), 1)

    def test_fault_of_the_version_in_force_is_reported(self):
        """Check that a comparison that can't be made is no success."""
        broken = self.write('broken.yaml', 'schema_version: 1\n')
        run = console.run('check', console.FUND, '--against', broken)
        self.assertEqual(run.status, STATUS.NEGATIVE)
        self.assertIn(f'{broken}: ', run.errors)
        run = console.run('check', console.FUND, '--against=no-such-file')
        self.assertEqual(run.status, STATUS.USAGE)

    def test_json(self):
        text = console.FUND.read_text().replace(
            'weight: 8\n', 'weight: -8\n', 1
        )
        base = self.write('base.yaml', text)
        run = console.run('check', base, '--json')
        self.assertEqual((run.status, run.errors), (STATUS.NEGATIVE, ''))
        document = json.loads(run.output)
        (finding,) = document['findings']
        self.assertEqual(
            (
                faults.INVALID,
                'error',
                str(base),
                'teams.case-officers.weight',
            ),
            tuple(
                finding[name] for name in ('id', 'severity', 'file', 'path')
            ),
        )
        self.assertTrue(finding['hint'])
        self.assertEqual([], document['valid'])
        run = console.run(
            'check', console.FUND, '--json', '--against', console.FUND
        )
        self.assertEqual(run.status, STATUS.OK)
        (valid,) = json.loads(run.output)['valid']
        self.assertEqual([], valid['differences'])
        self.assertEqual(32, len(valid['digest']))


class RenderTest(FileTestCase):
    """Test the command render."""

    def test_output_means_the_same(self):
        run = console.run('render', console.FUND, PRAGUE)
        self.assertEqual(run.status, STATUS.OK)
        expected = documents.build(
            console.FUND.read_text(), PRAGUE.read_text()
        )
        rendered = documents.build(run.output)
        self.assertEqual(rendered, expected)
        self.assertTrue(run.output.startswith(f'# digest {expected.digest}\n'))


class DiffTest(FileTestCase):
    """Test the command diff."""

    def test_changes_by_place(self):
        text = console.FUND.read_text()
        text = text.replace('    weight: 0.5\n', '    weight: 1.5\n')
        text = text.replace('  refunds:\n    weight: 2\n', '')
        new = self.write('new.yaml', text)
        run = console.run('diff', console.FUND, new, '--overlay', PRAGUE)
        self.assertEqual(run.status, STATUS.NEGATIVE)
        self.assertIn('~ teams.nightly-batch.weight: 0.5 -> 1.5', run.output)
        self.assertIn('- teams.refunds.weight: 2.0\n', run.output)
        self.assertNotIn('accounts', run.output)
        run = console.run('diff', new, new)
        self.assertEqual((run.status, run.output), (STATUS.OK, ''))


class ExplainTest(unittest.TestCase):
    """Test the command explain."""

    def explain(self, method, path, team, *flags):
        """Run the command on an example."""
        return console.run(
            'explain',
            console.FUND,
            f'--method={method}',
            f'--path={path}',
            f'--team={team}',
            *flags,
        )

    def test_non_idempotent_request(self):
        request = ('POST', '/v1/benefits/payments', 'letters')
        run = self.explain(*request, '--key')
        self.assertEqual(run.status, STATUS.OK)
        self.assertIn('pay_benefit, non-idempotent', run.output)
        self.assertIn('priority: 2, the lower of 3', run.output)
        self.assertIn('never tried at another target', run.output)
        run = self.explain(*request)
        self.assertEqual(run.status, STATUS.NEGATIVE)
        self.assertIn('428 binding-required', run.output)

    def test_idempotent_request(self):
        run = self.explain('GET', '/v1/claims/7', 'refunds')
        self.assertEqual(run.status, STATUS.OK)
        self.assertIn('look_up_claim, idempotent', run.output)
        self.assertIn('tried at most 3 times', run.output)
        self.assertIn('data centres out: none', run.output)

    def test_requests_that_are_refused(self):
        run = self.explain('GET', '/v1/benefits/payments', 'refunds')
        self.assertEqual(run.status, STATUS.NEGATIVE)
        self.assertIn('the path takes POST', run.output)
        run = self.explain('GET', '/v1/claims/7', 'nobody')
        self.assertEqual(run.status, STATUS.NEGATIVE)
        self.assertIn('403 unknown-team', run.output)
