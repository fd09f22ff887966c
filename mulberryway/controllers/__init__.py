"""Background threads that synchronize local state with the fleet."""
