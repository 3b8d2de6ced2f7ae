"""Test help, exit statuses and the error lines of the command line."""

import subprocess
import sys
import tempfile
import unittest
import unittest.mock

from savoryyoke_edge.command_line import results
from savoryyoke_entry import __main__ as binary
from tests.commands import console

STATUS = results.ExitStatus
SETTINGS = (
    '--vm-id=e1',
    '--data-centre=north',
    '--site=north',
    '--platform-url=http://127.0.0.1:9',
)
# Arguments, the expected exit status and a part of the error line.
MISTAKES = (
    ((), STATUS.USAGE, 'no command'),
    (('chek',), STATUS.USAGE, 'did you mean check'),
    (('check',), STATUS.USAGE, 'base'),
    (('check', 'no-such-file'), STATUS.USAGE, 'no-such-file: No such file'),
    (('check', console.EXAMPLES), STATUS.USAGE, 'directory'),
    (('check', console.FUND, '--bogus=1'), STATUS.USAGE, '--bogus'),
    (('check', console.FUND, '--', '--interactive'), STATUS.USAGE, "'--'"),
    (('render', console.FUND, console.FUND, 'x'), STATUS.USAGE, 'x'),
    (('diff', console.FUND, console.FUND, '__class__'), STATUS.USAGE, 'many'),
    (('render', '__class__', '__class__', 'x'), STATUS.USAGE, 'render'),
    (('explain', '__class__', '__class__'), STATUS.USAGE, 'explain'),
    (('check', 'a\nb\x1b[31m'), STATUS.USAGE, r'a\nb\x1b[31m: No such'),
    (('status', 'localhost'), STATUS.USAGE, 'IP:PORT'),
    (('status', '127.0.0.1:9', '--json=maybe'), STATUS.USAGE, '--json'),
    (('status', '127.0.0.1:1'), STATUS.UNREACHABLE, '127.0.0.1:1'),
    (('drain', '127.0.0.1:1'), STATUS.UNREACHABLE, 'admin address'),
    (('run', 'word'), STATUS.USAGE, "'word' is not a flag"),
    (('run', *SETTINGS, '--seed'), STATUS.USAGE, '--seed needs a value'),
    (('run', *SETTINGS, '--vm_id=e2'), STATUS.USAGE, 'given twice'),
    (('run', *SETTINGS, '--regoin=x'), STATUS.USAGE, 'mean --region'),
    (('run', *SETTINGS, '--seed=-1'), STATUS.USAGE, '--seed'),
    (('run', *SETTINGS[1:]), STATUS.USAGE, 'SAVORYYOKE_ENTRY_VM_ID'),
    (('run', *SETTINGS), STATUS.USAGE, 'cannot run: the port is taken'),
)


class MistakeTest(unittest.TestCase):
    """Test that a mistake gives one error line."""

    def setUp(self):
        # A mistake that is not detected starts the daemon. The patch makes
        # that fail with an error, so that the test does not hang.
        error = ExceptionGroup('tasks', [OSError('the port is taken')])
        patch = unittest.mock.patch(
            'savoryyoke_entry.commands.run.run', side_effect=error
        )
        patch.start()
        self.addCleanup(patch.stop)

    def test_mistakes(self):
        for arguments, status, text in MISTAKES:
            with self.subTest(arguments=arguments):
                run = console.run(*arguments)
                self.assertEqual(run.status, status)
                self.assertEqual(run.output, '')
                self.assertEqual(len(run.errors.splitlines()), 1, run.errors)
                self.assertTrue(run.errors.startswith('savoryyoke: '))
                self.assertIn(text, run.errors)

    def test_each_fault_of_the_settings_has_a_line(self):
        environ = {'SAVORYYOKE_ENTRY_NONSENSE': '1'}
        run = console.run('run', *SETTINGS[2:], environ=environ)
        self.assertEqual(run.status, STATUS.USAGE)
        self.assertEqual(len(run.errors.splitlines()), 3)

    def test_internal_error_is_one_line(self):
        error = RuntimeError('two\nlines')
        target = 'savoryyoke_entry.commands.files.read'
        with unittest.mock.patch(target, side_effect=error):
            run = console.run('check', console.FUND)
        self.assertEqual(run.status, STATUS.INTERNAL)
        self.assertRegex(run.errors, r'two lines \(.*files.py:\d+.*\)\n\Z')

    def test_text_that_is_not_utf_8(self):
        with tempfile.NamedTemporaryFile() as file:
            file.write(b'a: \xff')
            file.flush()
            run = console.run('check', file.name)
        self.assertEqual(run.status, STATUS.USAGE)
        self.assertIn('byte 3 is not UTF-8', run.errors)


class HelpTest(unittest.TestCase):
    """Test that every command has a help text."""

    def test_overview_names_every_command(self):
        run = console.run('--help')
        self.assertEqual(run.status, STATUS.OK)
        for command in binary.COMMANDS:
            self.assertRegex(run.output, rf'(?m)^  {command.name} +[A-Z]')
        self.assertIn('Exit status', run.output)

    def test_every_command_has_help(self):
        for command in binary.COMMANDS:
            with self.subTest(command=command.name):
                run = console.run(command.name, '--help')
                self.assertEqual(run.status, STATUS.OK)
                self.assertIn(f'Usage: savoryyoke {command.name}', run.output)
        run = console.run('run', '--help')
        self.assertIn('SAVORYYOKE_ENTRY_DRAIN_TIMEOUT_S', run.output)


class PrintSettingsTest(unittest.TestCase):
    """Test that the settings are printed as they were parsed."""

    def test_values_stay_text_and_secrets_hidden(self):
        flags = ('--region=1e3', '--admin-token', 'hunter2')
        run = console.run('run', *SETTINGS, *flags, '--print-settings')
        self.assertEqual((run.status, run.errors), (STATUS.OK, ''))
        self.assertIn('\nregion=1e3\n', run.output)
        self.assertNotIn('hunter2', run.output)


class ProcessTest(unittest.TestCase):
    """Test the command line in a process of its own."""

    def test_statuses_and_no_traceback(self):
        cases = (
            (('check', console.FUND), STATUS.OK),
            (
                ('check', console.FUND.with_name('prague.yaml')),
                STATUS.NEGATIVE,
            ),
            (('run', '--nonsense=1'), STATUS.USAGE),
            (('drain', '127.0.0.1:1'), STATUS.UNREACHABLE),
        )
        for arguments, status in cases:
            with self.subTest(arguments=arguments):
                process = subprocess.run(
                    [sys.executable, '-m', 'savoryyoke_entry', *arguments],
                    capture_output=True,
                    text=True,
                    timeout=60,
                )
                self.assertEqual(process.returncode, status)
                self.assertNotIn('Traceback', process.stderr)
                self.assertEqual(process.stderr == '', status is STATUS.OK)
