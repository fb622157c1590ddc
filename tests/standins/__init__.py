"""Stand in for the systems that dragonflyramp talks to."""
