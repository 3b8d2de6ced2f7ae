"""Simulate the state machines of calls together, without a network.

``world`` passes messages between ledgers and attempts in memory, ``oracle``
compares the answers with the actual runs, ``schedules`` causes the failures.
Programs that embed the library can use them in their own tests.
"""
