"""Run the platform's entry daemons under random faults and check promises.

Entries and stand-ins for replicas are processes of their own on loopback;
the store, the proxies and the callers belong to the driving process.
"""
