"""Estimates of costs and of silence limits, by which paths are chosen and watched."""
