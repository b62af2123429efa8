"""What lives for one request: classification, batches and their outcome."""
