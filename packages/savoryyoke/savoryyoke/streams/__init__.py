"""Reassemble an answer that arrives in pieces from one or more targets.

Feed an ``assembly.Assembly`` the events of ``events`` and carry out the
decisions of ``decisions``.
"""
