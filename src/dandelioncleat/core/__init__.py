"""Decision logic without I/O: folds, grants, placement, admission."""
