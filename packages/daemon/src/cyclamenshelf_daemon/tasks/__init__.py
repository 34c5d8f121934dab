"""Scheduling of jobs made of steps of tasks."""
