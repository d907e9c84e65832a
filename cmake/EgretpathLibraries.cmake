# The libraries in the order of their dependencies; see docs/DESIGN.md.
set(egretpath_libraries
    core table settings telemetry membership distribution routes instances routing admission idempotency history http
    platform rpc node dialect egress ingress sidecar client)
