"""Maintain a local copy of the values that the platform publishes.

An item is a published key with its value. A reading is the result of one read
of the platform: a snapshot of all items or the changes since a revision.
"""
