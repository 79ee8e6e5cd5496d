"""Cost and timeout models behind routing decisions."""
