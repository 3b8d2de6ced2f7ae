"""Plan maps of experts to ranks that follow the demand for experts.

A map assigns experts to the slots of each rank, separately for each set of
experts. Plans respect how many experts an engine can copy in one change.

The package suits small VMs: it needs no numeric library, and a search
yields to its caller between two sets of a map.
"""
