"""Versioned protocol between the processes of savoryyoke."""
