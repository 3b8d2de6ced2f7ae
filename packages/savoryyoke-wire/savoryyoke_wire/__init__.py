"""Encode and decode the versioned messages between savoryyoke processes."""
