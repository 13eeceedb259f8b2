//! Bounded rings between duties.
//!
//! A request going down (front to routing to guard) is offered: a full ring is a counted refusal.
//! A completion going up is delivered: the sender waits. Only that one direction waits, so two
//! duties never wait for each other.

use std::any::Any;
use std::panic::{catch_unwind, resume_unwind, AssertUnwindSafe};

use crossbeam::channel::{bounded, Receiver, Sender, TrySendError};

use crate::metrics::Metrics;
use crate::report_once::shortened;

/// The sending side of a ring.
pub struct RingSender<T> {
    name: &'static str,
    sender: Sender<T>,
    metrics: Metrics,
}

impl<T> Clone for RingSender<T> {
    fn clone(&self) -> Self {
        RingSender {
            name: self.name,
            sender: self.sender.clone(),
            metrics: self.metrics.clone(),
        }
    }
}

impl<T> RingSender<T> {
    /// Puts an event into the ring, or gives it back when the ring is full or closed.
    pub fn offer(&self, event: T) -> Result<(), T> {
        match self.sender.try_send(event) {
            Ok(()) => Ok(()),
            Err(TrySendError::Full(event)) => {
                self.metrics.count(&format!("ring.{}.full", self.name));
                Err(event)
            }
            Err(TrySendError::Disconnected(event)) => Err(event),
        }
    }

    /// Puts an event into the ring and waits while it is full. A closed ring drops the event.
    pub fn deliver(&self, event: T) {
        if self.sender.send(event).is_err() {
            self.metrics.count(&format!("ring.{}.closed", self.name));
        }
    }
}

/// Makes a ring of `capacity_count` events.
pub fn ring<T>(
    name: &'static str,
    capacity_count: usize,
    metrics: &Metrics,
) -> (RingSender<T>, Receiver<T>) {
    let (sender, receiver) = bounded(capacity_count);
    (
        RingSender {
            name,
            sender,
            metrics: metrics.clone(),
        },
        receiver,
    )
}

/// Starts the named thread of a duty.
pub fn spawn_duty<F>(name: &str, body: F) -> std::thread::JoinHandle<()>
where
    F: FnOnce() + Send + 'static,
{
    let builder = std::thread::Builder::new()
        .name(name.to_owned())
        .stack_size(DUTY_STACK_BYTES);
    builder
        .spawn(move || run_logging_panic(body))
        .expect("the machine gives a thread at start")
}

/// Runs the body of a duty. A panic ends this thread alone, so the log tells of it.
fn run_logging_panic(body: impl FnOnce()) {
    if let Err(cause) = catch_unwind(AssertUnwindSafe(body)) {
        let problem = shortened(panic_text(&*cause));
        log::error!(problem; "duty_failed");
        resume_unwind(cause);
    }
}

fn panic_text(cause: &(dyn Any + Send)) -> &str {
    let owned = cause.downcast_ref::<String>().map(String::as_str);
    owned
        .or_else(|| cause.downcast_ref::<&str>().copied())
        .unwrap_or("no text")
}

const DUTY_STACK_BYTES: usize = 512 * 1024;

#[cfg(test)]
mod tests;
