"""Control plane of a daemon: fleet membership and configuration.

A daemon creates one ``plane.ControlPlane``. ``gossip`` carries membership
messages over UDP; ``exchange`` carries configuration documents over TCP at
the same address.
"""
