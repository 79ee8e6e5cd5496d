"""Routing configuration, layout planning and path search."""
