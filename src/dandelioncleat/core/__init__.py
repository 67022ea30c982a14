"""Pure decisions: folds, grants, placement, admission. No I/O."""
