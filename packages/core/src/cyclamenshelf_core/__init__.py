"""Scheduling decisions of cyclamenshelf, without I/O."""
