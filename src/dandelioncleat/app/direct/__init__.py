"""The direct router: it calls targets over HTTP and shares state in a store."""
