"""Talk to callers."""
