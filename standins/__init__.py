"""Small stand-ins of the systems around an entry VM."""
