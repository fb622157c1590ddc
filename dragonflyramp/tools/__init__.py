"""Start the programs."""
