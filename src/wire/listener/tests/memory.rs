use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;

use async_io::Async;
use crossbeam::channel::bounded;

use crate::wire::listener::connection::Connection;
use crate::wire::listener::{ListenerOptions, Shared};

/// Greatest size of the task of a connection on which nothing has arrived.
const TASK_LIMIT_BYTES: usize = 8 * 1024;

#[test]
fn the_task_of_an_idle_connection_holds_no_buffers() {
    // Arrange
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let stream = Async::new(std::net::TcpStream::connect(address).expect("a connection"));
    let (_close, closed) = async_channel::bounded(1);
    let shared = Rc::new(Shared {
        options: ListenerOptions::default(),
        arrivals: bounded(1).0,
        closed,
        winding_down: Arc::default(),
    });

    // Act
    let task = Connection::new(address, shared).run(stream.expect("a socket"));

    // Assert
    let task_bytes = std::mem::size_of_val(&task);
    assert!(task_bytes <= TASK_LIMIT_BYTES, "{task_bytes} bytes");
}
