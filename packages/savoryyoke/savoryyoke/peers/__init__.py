"""Track the state of the other entries by their heartbeats.

An entry is one instance of the load balancer; the others are its peers. Each
sends its state in datagrams: whether it accepts requests, whether it leaves,
and how many requests it has in flight at each target.
"""
