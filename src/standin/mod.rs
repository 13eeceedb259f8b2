//! Stand-ins for what the platform gives: its log, and a backend server. For `demo` and tests.

pub mod backend_server;
pub mod platform_log;
