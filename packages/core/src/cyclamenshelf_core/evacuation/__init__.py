"""Decisions on the tasks in a data centre that is being emptied."""
