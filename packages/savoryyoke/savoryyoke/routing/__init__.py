"""Choose a target for each request to one service."""
