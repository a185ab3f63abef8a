//! Stand-ins for upstreams and for the platform, for tests and measurements.
