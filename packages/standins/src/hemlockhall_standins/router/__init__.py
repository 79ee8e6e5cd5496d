"""Test doubles for the peers of a router: endpoints, the store, other hosts."""
