"""Stand-ins for what a router meets: endpoints, the store, callers."""
