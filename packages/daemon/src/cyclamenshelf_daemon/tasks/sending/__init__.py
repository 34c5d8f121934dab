"""Orders to workers: whose turn it is, and how they are delivered."""
