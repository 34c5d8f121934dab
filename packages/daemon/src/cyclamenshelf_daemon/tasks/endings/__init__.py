"""How jobs and runs are ended by decision of the owner."""
