"""Take part in the control of the fleet: membership and configuration.

``plane.ControlPlane`` is what a daemon owns; ``gossip`` carries membership
over UDP and ``exchange`` documents over TCP at the same address.
"""
