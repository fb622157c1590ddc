"""Measure dragonflyramp."""
