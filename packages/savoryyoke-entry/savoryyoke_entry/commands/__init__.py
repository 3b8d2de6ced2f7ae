"""Commands of the binary savoryyoke, one module for each."""
