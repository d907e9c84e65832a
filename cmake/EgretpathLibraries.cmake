# The libraries in the order of their dependencies. See docs/DESIGN.md.
set(egretpath_libraries
    core settings telemetry answers messages routes instances routing admission calls idempotency quarantine http rpc transfer dialect
    egress ingress sidecar client)
