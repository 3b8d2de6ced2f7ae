"""Choose expert maps that even out the ranks and move few weights."""
