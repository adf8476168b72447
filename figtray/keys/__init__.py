"""Callers' keys: generation, hashing and verification."""
