"""Decide who uses the capacity of engines while there is too little of it.

Applies to services whose streams have different priorities. The load that it
answers: more streams than engines can run without pauses that make all of
them late.
"""
