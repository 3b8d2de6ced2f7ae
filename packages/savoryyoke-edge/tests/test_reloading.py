"""Test settings that change while a process runs."""

import dataclasses
import unittest
from unittest import mock

import anyio

from savoryyoke_edge import exceptions
from savoryyoke_edge import reloading


@dataclasses.dataclass(frozen=True, kw_only=True)
class Settings:
    """Hold a setting that can be reloaded and one that can't."""

    seeds: tuple[str, ...] = ('a',)
    port: int = 80


class SettingsReloaderTests(unittest.TestCase):
    def setUp(self):
        # What the file holds, one element a reading; the last one stays.
        self.readings = [Settings()]
        self.applied = []
        self.reloader = reloading.SettingsReloader(
            settings=Settings(),
            reloadable_fields=frozenset({'seeds'}),
            read_settings=self.read,
            apply=self.applied.append,
        )

    def read(self):
        reading = self.readings[0]
        if len(self.readings) > 1:
            del self.readings[0]
        if reading is None:
            raise exceptions.SettingsUnusable('no JSON')
        return reading

    def reload(self, *, for_s=0.0):
        """Reload, run for some seconds and return the logged events."""

        async def run():
            with anyio.move_on_after(for_s):
                await self.reloader.run()

        with (
            mock.patch.object(reloading, 'RETRY_INTERVAL_S', 0.01),
            mock.patch.object(reloading.logs, 'write_event') as write_event,
        ):
            self.reloader.reload()
            anyio.run(run)
        return [call.args[0] for call in write_event.call_args_list]

    def test_changed_settings_are_applied(self):
        self.readings = [Settings(seeds=('b',), port=81)]
        self.assertEqual(
            ['setting_changed', 'settings_reloaded'], self.reload()
        )
        self.assertEqual([Settings(seeds=('b',))], self.applied)
        self.assertEqual(Settings(seeds=('b',)), self.reloader.settings)

    def test_unusable_settings_change_nothing(self):
        self.readings = [None]
        self.assertEqual(['reload_refused'], self.reload(for_s=0.1))
        self.assertEqual([], self.applied)
        self.assertEqual(Settings(), self.reloader.settings)

    def test_unusable_settings_are_read_again(self):
        """Nothing else would read the file when it is complete."""
        self.readings = [None, None, Settings(seeds=('b',))]
        self.assertEqual(
            ['reload_refused', 'setting_changed', 'settings_reloaded'],
            self.reload(for_s=0.3),
        )
        self.assertEqual(('b',), self.reloader.settings.seeds)

    def test_reload_in_between_ends_the_readings(self):
        self.readings = [None, Settings(seeds=('b',)), Settings(seeds=('c',))]
        self.reload()
        self.reload(for_s=0.1)
        self.assertEqual(('b',), self.reloader.settings.seeds)
