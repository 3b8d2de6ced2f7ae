"""Keep the one authority over the keys bound to a target process.

``authority`` is the state machine; it takes ``events`` and returns
``decisions``. ``books`` hold the records of one incarnation each and
``snapshots`` carry them to the heir of a target that is leaving.
"""
