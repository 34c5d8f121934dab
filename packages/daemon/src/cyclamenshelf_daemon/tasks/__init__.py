"""Scheduling of multi-step jobs whose steps consist of tasks."""
