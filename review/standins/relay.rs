//! A relay before the store. It can let all open connections go silent for good, without a reset,
//! while new ones work.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// A running relay.
pub struct Relay {
    /// Address at which it listens.
    pub address: String,
    /// Connections that were accepted before this count went up are silent.
    generation: Arc<AtomicU64>,
}

impl Relay {
    /// Starts a relay to an address.
    pub fn start(target: &str) -> Relay {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address").to_string();
        let generation = Arc::new(AtomicU64::new(0));
        let (target, current) = (target.to_owned(), generation.clone());
        std::thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(&target) else {
                    continue;
                };
                let accepted_in = current.load(Ordering::Relaxed);
                for (from, to) in [(&near, &far), (&far, &near)] {
                    let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else {
                        continue;
                    };
                    let current = current.clone();
                    std::thread::spawn(move || {
                        copy(from, to, || current.load(Ordering::Relaxed) != accepted_in)
                    });
                }
            }
        });
        Relay {
            address,
            generation,
        }
    }

    /// Lets all open connections go silent.
    pub fn silence(&self) {
        self.generation.fetch_add(1, Ordering::Relaxed);
    }
}

/// Copies bytes until the connection ends. A silent connection takes bytes and passes on nothing,
/// not even its end.
fn copy(mut from: TcpStream, mut to: TcpStream, is_silent: impl Fn() -> bool) {
    let _ = to.set_nodelay(true);
    let mut chunk = [0; 16 * 1024];
    loop {
        let length = from.read(&mut chunk).unwrap_or(0);
        if is_silent() {
            if length == 0 {
                // The other side must not see the end, so its connection is kept.
                std::mem::forget(to);
                return;
            }
            continue;
        }
        if length == 0 {
            let _ = to.shutdown(Shutdown::Write);
            return;
        }
        if to.write_all(&chunk[..length]).is_err() {
            return;
        }
    }
}
