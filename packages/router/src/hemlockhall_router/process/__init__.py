"""Components that live as long as the router process."""
