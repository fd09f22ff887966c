"""Stand-ins for the outside systems; none of them ships."""
