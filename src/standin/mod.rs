//! Stand-ins for the platform's log and for a backend server, used by `demo` and tests.

pub mod backend_server;
pub mod platform_log;
