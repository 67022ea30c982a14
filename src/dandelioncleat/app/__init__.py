"""Tasks that connect the decisions to the ports."""
