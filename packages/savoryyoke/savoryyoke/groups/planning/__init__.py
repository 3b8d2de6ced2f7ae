"""Choose expert maps that balance the ranks' loads and move few weights."""
