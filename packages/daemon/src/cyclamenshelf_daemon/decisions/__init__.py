"""What the cell owner decides from, and previews of its decisions."""
