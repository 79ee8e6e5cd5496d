"""The router role: callers in front, HTTP endpoints behind."""
