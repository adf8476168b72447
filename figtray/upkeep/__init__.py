"""Maintenance waves and rebalancing of hosts between pools."""
