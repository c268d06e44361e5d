"""Client of the platform: key-value service and list of instances."""
