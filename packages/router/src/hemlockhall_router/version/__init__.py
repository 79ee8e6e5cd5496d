"""State that lives as long as a version of the configuration or of the layout."""
