"""Decide how to continue a request when a try at a target ends.

A try is one sending of the request to one target. Pass the events of
``events`` to a ``ledger.RequestLedger`` and carry out the decisions of
``decisions`` that it returns.
"""
