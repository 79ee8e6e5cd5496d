"""A soak of router processes: what happens to callers under series of faults."""
