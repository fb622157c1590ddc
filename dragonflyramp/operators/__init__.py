"""Talk to operators."""
