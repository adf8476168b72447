"""Proofs over real processes and sockets under failure (`make prove`)."""
