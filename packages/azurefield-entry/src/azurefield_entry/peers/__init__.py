"""Links to the other entry instances: one per instance, reopened when it ends."""
