"""Command for operators: checks questionnaires, changes the configuration and shows its state."""
