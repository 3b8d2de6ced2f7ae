"""Run the platform's entry daemons under random faults and check promises.

Each entry and each fake target is a process on the loopback interface. The
store, the proxies and the callers run in the process of the soak itself.
"""
