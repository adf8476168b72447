"""Randomized soak: real nodes under faults from outside, and an oracle."""
