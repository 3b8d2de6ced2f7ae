"""Commands of the target process, one module each."""
