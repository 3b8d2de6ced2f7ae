"""Decide non-idempotent calls: at most one run, and a true answer.

``keys`` binds a call to the one process that may ever run it, ``ledger`` is
the authority inside that process, ``attempts`` is the side of the entry that
carries a caller's attempt, ``routes`` finds the authority for a key.
"""
