"""Connections to callers, endpoints, the store and other hosts."""
