"""A randomized fault soak of the proxies on stand-ins of the platform."""
