"""Query fan-out, dispatch of bookings and the routing state of each service."""
