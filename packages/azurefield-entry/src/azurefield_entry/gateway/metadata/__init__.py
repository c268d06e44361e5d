"""What the gateway reads from the platform's store and writes there."""
