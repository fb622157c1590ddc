"""Test dragonflyramp."""
