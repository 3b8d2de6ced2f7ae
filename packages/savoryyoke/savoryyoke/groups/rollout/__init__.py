"""Change the expert map of a group so that all ranks switch at one pass.

A pass is one forward pass of the model, run by all ranks together. Engines
carry out four orders: prepare a map, arm it for a pass, hold the group before
a pass, and release the hold. A ``leader.GroupLeader`` on one rank's VM
publishes directives; an ``agent.RankAgent`` on each rank's VM gives its own
engine the orders that they require. The group is held before the pass of the
switch until every rank has reported that it is armed, so the ranks never
begin a pass with different maps.
"""
