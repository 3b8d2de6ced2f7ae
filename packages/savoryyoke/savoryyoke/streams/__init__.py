"""Reassemble an answer that arrives in chunks from one or more targets.

Pass the events of ``events`` to an ``assembly.Assembly`` and carry out the
decisions of ``decisions`` that it returns.
"""
