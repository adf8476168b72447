"""Randomized fault-injection test of real nodes that checks invariants."""
