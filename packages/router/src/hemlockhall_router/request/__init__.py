"""Relaying of one request, from its route to the end of its response."""
