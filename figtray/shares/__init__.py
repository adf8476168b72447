"""Fair shares of the pools' slots across all entries."""
