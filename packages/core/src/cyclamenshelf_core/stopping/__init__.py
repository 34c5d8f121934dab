"""What stopping a task loses, and which tasks are better left alone."""
