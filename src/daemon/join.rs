//! Waits for the threads of a daemon that stops.

use std::thread::JoinHandle;
use std::time::Instant;

use crossbeam::channel::bounded;

use crate::ring::spawn_duty;

/// Joins the threads, but stops waiting at `ends_at` for those that are still blocked by a peer.
pub(super) fn join_until(threads: Vec<JoinHandle<()>>, ends_at: Instant) {
    let (joined, joined_receiver) = bounded(1);
    spawn_duty("join", move || {
        for thread in threads {
            // A panic of a duty was already reported on standard error.
            let _ = thread.join();
        }
        // The receiver is gone if the wait has timed out.
        let _ = joined.send(());
    });
    if joined_receiver.recv_deadline(ends_at).is_err() {
        log::warn!("threads_left_running");
    }
}
