"""Gateway: serves the routes of a configuration over registered backend servers."""
