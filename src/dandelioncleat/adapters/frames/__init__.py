"""Cap'n Proto frames between the system's processes."""
