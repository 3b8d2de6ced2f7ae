"""Choose the target of each request of one service."""
