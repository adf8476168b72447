"""Leader election among the nodes, with a lease in the store."""
