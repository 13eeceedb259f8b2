//! A TCP proxy on loopback that forwards bytes and injects faults on demand.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Fault that the proxy injects. The notes of the soak contain the names of the variants.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProxyFault {
    /// Forwards all bytes at once.
    None,
    /// Forwards each part after a delay.
    Delay(Duration),
    /// Closes each connection on which bytes arrive.
    Reset,
    /// Drops the bytes of both directions.
    Silence,
    /// Forwards the bytes to the target and drops those from it.
    LoseAnswers,
}

/// A proxy before one target address. Its threads run until the test's process ends.
pub struct Proxy {
    /// Address on which the proxy listens.
    pub address: SocketAddr,
    fault: Arc<Mutex<ProxyFault>>,
}

/// Direction in which one thread forwards bytes.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToTarget,
    FromTarget,
}

impl Proxy {
    /// Starts a proxy on a free port that forwards to this address.
    pub fn start(to: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let fault = Arc::new(Mutex::new(ProxyFault::None));
        let current_fault = fault.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                // If the target is down, the accepted connection is dropped.
                if let Ok(target) = TcpStream::connect(to) {
                    forward_both_ways(stream, target, &current_fault);
                }
            }
        });
        Proxy { address, fault }
    }

    /// Sets the fault of all connections from now on.
    pub fn set(&self, fault: ProxyFault) {
        *self.fault.lock().expect("no panic while locked") = fault;
    }
}

/// Starts a thread for each direction of a connection.
fn forward_both_ways(stream: TcpStream, target: TcpStream, fault: &Arc<Mutex<ProxyFault>>) {
    let pairs = [
        (stream.try_clone(), target.try_clone(), Direction::ToTarget),
        (
            target.try_clone(),
            stream.try_clone(),
            Direction::FromTarget,
        ),
    ];
    for (from, to, direction) in pairs {
        let (Ok(from), Ok(to)) = (from, to) else {
            return;
        };
        let fault = fault.clone();
        thread::spawn(move || forward(from, to, direction, &fault));
    }
}

/// Forwards bytes in one direction until either side closes, then closes both.
fn forward(
    mut from: TcpStream,
    mut to: TcpStream,
    direction: Direction,
    fault: &Mutex<ProxyFault>,
) {
    let mut bytes = [0; 8192];
    loop {
        let count = match from.read(&mut bytes) {
            Ok(0) | Err(_) => break,
            Ok(count) => count,
        };
        let fault = *fault.lock().expect("no panic while locked");
        match fault {
            ProxyFault::None => {}
            ProxyFault::Delay(time) => thread::sleep(time),
            ProxyFault::Reset => break,
            ProxyFault::Silence => continue,
            ProxyFault::LoseAnswers if direction == Direction::FromTarget => continue,
            ProxyFault::LoseAnswers => {}
        }
        if to.write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    // Either side may have closed already.
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
