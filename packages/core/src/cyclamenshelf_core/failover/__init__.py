"""Choice of the host that takes over the ownership of the fleet."""
