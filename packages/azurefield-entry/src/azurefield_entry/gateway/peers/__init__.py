"""Links to other instances, and the requests that are forwarded over them."""
