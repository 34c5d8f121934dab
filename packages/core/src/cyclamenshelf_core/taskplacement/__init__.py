"""Which of the workers with free capacity a group of tasks gets."""
