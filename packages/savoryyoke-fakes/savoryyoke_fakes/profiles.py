"""Run a module under a profiler that measures CPU time without waiting.

The arguments are the path of the profile, ``-m``, a module and its flags.
"""

import cProfile
import runpy
import sys
import time


def main():
    """Run the module and write its profile when it ends."""
    path, _, module, *flags = sys.argv[1:]
    sys.argv = [module, *flags]
    profile = cProfile.Profile(time.process_time)
    try:
        profile.runcall(
            runpy.run_module, module, run_name='__main__', alter_sys=True
        )
    finally:
        profile.dump_stats(path)


if __name__ == '__main__':
    main()
