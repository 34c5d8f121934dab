"""Scheduling logic of cyclamenshelf; performs no I/O."""
