//! Bounded rings that pass events between the threads of duties, and the start of these threads.
//!
//! Requests go from the front to routing and to the guard with `offer`, which refuses and counts an
//! event when the ring is full. Completions go the other way with `deliver`, which blocks until the
//! ring has room. Only this one direction blocks, so two duties can't wait for each other.

use std::any::Any;
use std::future::poll_fn;
use std::panic::{catch_unwind, resume_unwind, AssertUnwindSafe};
use std::sync::{Arc, Mutex};
use std::task::Poll;

use crossbeam::channel::{bounded, Receiver, Sender, TryRecvError, TrySendError};
use futures::task::AtomicWaker;

use crate::metrics::Metrics;
use crate::report_once::shortened;

/// Sending side of a ring. Clones send to the same ring.
pub struct RingSender<T> {
    /// Name in the ring's counters, `ring.<name>.full` and `ring.<name>.closed`.
    name: &'static str,
    /// Sending end of the bounded channel. Dropped before `waker`, so that the task that is woken
    /// last sees the ring closed.
    sender: Sender<T>,
    /// Counts messages that the ring refused.
    metrics: Metrics,
    /// Wakes the receiving task; `None` if the receiver is a thread that blocks on the ring.
    waker: Option<TaskWaker>,
}

/// Wakes the receiving task of a ring, also when the sender that holds it is dropped.
#[derive(Clone)]
struct TaskWaker(Arc<AtomicWaker>);

impl Drop for TaskWaker {
    fn drop(&mut self) {
        self.0.wake();
    }
}

impl<T> Clone for RingSender<T> {
    fn clone(&self) -> Self {
        RingSender {
            name: self.name,
            sender: self.sender.clone(),
            metrics: self.metrics.clone(),
            waker: self.waker.clone(),
        }
    }
}

impl<T> RingSender<T> {
    /// Puts an event into the ring without blocking. Returns the event if the ring is full, which
    /// is counted, or closed.
    pub fn offer(&self, event: T) -> Result<(), T> {
        match self.sender.try_send(event) {
            Ok(()) => {
                self.wake();
                Ok(())
            }
            Err(TrySendError::Full(event)) => {
                self.metrics.count(&format!("ring.{}.full", self.name));
                Err(event)
            }
            Err(TrySendError::Disconnected(event)) => Err(event),
        }
    }

    /// Puts an event into the ring, and blocks while the ring is full. A closed ring drops the
    /// event and counts it.
    pub fn deliver(&self, event: T) {
        if self.sender.send(event).is_err() {
            self.metrics.count(&format!("ring.{}.closed", self.name));
        }
        self.wake();
    }

    /// Wakes the receiver if it is a task. A thread is woken by the channel.
    fn wake(&self) {
        if let Some(TaskWaker(waker)) = &self.waker {
            waker.wake();
        }
    }
}

/// Receiving side of a ring whose receiver is a task on an executor instead of a thread.
pub struct TaskReceiver<T> {
    /// Receiving end of the bounded channel.
    receiver: Receiver<T>,
    /// Woken by the senders after each event, and when one of them is dropped.
    waker: Arc<AtomicWaker>,
}

impl<T> TaskReceiver<T> {
    /// Waits for the next event; returns `None` once the ring is closed and empty.
    pub async fn next(&self) -> Option<T> {
        poll_fn(|context| {
            // Registered first, so that an event after the look below wakes the task.
            self.waker.register(context.waker());
            match self.receiver.try_recv() {
                Ok(event) => Poll::Ready(Some(event)),
                Err(TryRecvError::Disconnected) => Poll::Ready(None),
                Err(TryRecvError::Empty) => Poll::Pending,
            }
        })
        .await
    }
}

/// Reports to a duty that must not be lost, from threads that must not block. A report is added
/// here before a message is offered to the duty's ring, and the duty takes the reports after each
/// message. So a full ring delays a report and does not lose it.
pub struct Reports<T> {
    /// Reports that were not taken yet. What may be reported must be limited by its sender.
    added: Arc<Mutex<Vec<T>>>,
}

impl<T> Clone for Reports<T> {
    fn clone(&self) -> Self {
        Reports {
            added: self.added.clone(),
        }
    }
}

impl<T> Default for Reports<T> {
    fn default() -> Self {
        Reports {
            added: Arc::default(),
        }
    }
}

impl<T> Reports<T> {
    /// Adds a report.
    pub fn add(&self, report: T) {
        self.added
            .lock()
            .expect("no panic while locked")
            .push(report);
    }

    /// Takes all reports.
    pub fn take(&self) -> Vec<T> {
        std::mem::take(&mut *self.added.lock().expect("no panic while locked"))
    }
}

/// Creates a ring that holds up to `capacity_count` events. Its counters carry `name`.
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
            waker: None,
        },
        receiver,
    )
}

/// Creates a ring like `ring` whose receiver is a task.
pub fn task_ring<T>(
    name: &'static str,
    capacity_count: usize,
    metrics: &Metrics,
) -> (RingSender<T>, TaskReceiver<T>) {
    let (mut sender, receiver) = ring(name, capacity_count, metrics);
    let waker = Arc::new(AtomicWaker::new());
    sender.waker = Some(TaskWaker(waker.clone()));
    (sender, TaskReceiver { receiver, waker })
}

/// Starts a thread with this name that runs the body of a duty.
pub fn spawn_duty<F>(name: &str, body: F) -> std::thread::JoinHandle<()>
where
    F: FnOnce() + Send + 'static,
{
    let builder = std::thread::Builder::new()
        .name(name.to_owned())
        .stack_size(DUTY_STACK_BYTES);
    builder
        .spawn(move || run_logging_panic(body))
        .expect("the operating system can start a thread")
}

/// Runs the body of a duty and logs a panic. The panic ends this thread only, so without the log
/// line it would go unnoticed.
fn run_logging_panic(body: impl FnOnce()) {
    if let Err(cause) = catch_unwind(AssertUnwindSafe(body)) {
        let problem = shortened(panic_text(&*cause));
        log::error!(problem; "duty_failed");
        resume_unwind(cause);
    }
}

/// Returns the message of a panic, or `no text` if its payload is not a string.
fn panic_text(cause: &(dyn Any + Send)) -> &str {
    let owned = cause.downcast_ref::<String>().map(String::as_str);
    owned
        .or_else(|| cause.downcast_ref::<&str>().copied())
        .unwrap_or("no text")
}

/// Stack size of a duty's thread, in bytes.
const DUTY_STACK_BYTES: usize = 512 * 1024;

#[cfg(test)]
mod tests;
