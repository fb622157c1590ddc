"""Talk to backend servers."""
