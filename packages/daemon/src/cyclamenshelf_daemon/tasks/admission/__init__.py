"""Refusal of jobs under overload: what the hosts know and how they learn it.

The owner publishes a summary of the work that waits while it is more than
fits. Each host decides on the jobs that it is handed by the latest summary.
"""
