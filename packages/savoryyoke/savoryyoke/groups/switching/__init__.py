"""Change the expert map of a group whose ranks run each step together.

The ranks decide on the switch themselves, by the contributions that they
exchange in the collective operation of each step. A driver beside rank 0 only
asks the ranks to prepare a map.
"""
