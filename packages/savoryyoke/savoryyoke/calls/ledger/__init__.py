"""Decide on the keys bound to a target process and record the results.

``authority`` is the state machine; it handles ``events`` and returns
``decisions``, following ``rules``. ``store`` keeps one of the ``tables`` for
each incarnation, with its ``records``. ``handover`` moves the authority to
the heir of a target that is leaving, in ``snapshots``.
"""
