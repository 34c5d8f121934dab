"""What a decision would do with a job that has not been submitted."""
