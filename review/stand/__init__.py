"""Stand-ins of the review: the platform's store, servers, requesters, a deployment."""
