"""What the owner knows and records about too little room."""
