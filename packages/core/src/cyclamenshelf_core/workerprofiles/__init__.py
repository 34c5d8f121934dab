"""What the scheduler learns about workers and run times from the tasks."""
