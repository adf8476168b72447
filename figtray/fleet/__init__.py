"""Hosts, the workers on them, and the interfaces of their clients."""
