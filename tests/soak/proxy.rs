//! A proxy on loopback that passes bytes on until it is told to do harm.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// What the proxy does with bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Harm {
    /// Passes them on.
    None,
    /// Passes them on late.
    Delay(Duration),
    /// Closes every connection.
    Reset,
    /// Takes them and passes none on, either way.
    Silence,
    /// Passes requests on and no answers.
    LoseAnswers,
}

/// A proxy before one address. Its threads end with the test's process.
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    harm: Arc<Mutex<Harm>>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Way {
    There,
    Back,
}

impl Proxy {
    /// Starts a proxy before an address.
    pub fn start(to: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let harm = Arc::new(Mutex::new(Harm::None));
        let told = harm.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                // A target that is away resets the connection.
                if let Ok(target) = TcpStream::connect(to) {
                    join(stream, target, &told);
                }
            }
        });
        Proxy { address, harm }
    }

    /// Sets what it does from now on.
    pub fn set(&self, harm: Harm) {
        *self.harm.lock().expect("no panic while locked") = harm;
    }
}

fn join(stream: TcpStream, target: TcpStream, harm: &Arc<Mutex<Harm>>) {
    let pairs = [
        (stream.try_clone(), target.try_clone(), Way::There),
        (target.try_clone(), stream.try_clone(), Way::Back),
    ];
    for (from, to, way) in pairs {
        let (Ok(from), Ok(to)) = (from, to) else {
            return;
        };
        let harm = harm.clone();
        thread::spawn(move || pass(from, to, way, &harm));
    }
}

fn pass(mut from: TcpStream, mut to: TcpStream, way: Way, harm: &Mutex<Harm>) {
    let mut bytes = [0; 8192];
    loop {
        let count = match from.read(&mut bytes) {
            Ok(0) | Err(_) => break,
            Ok(count) => count,
        };
        let harm = *harm.lock().expect("no panic while locked");
        match harm {
            Harm::None => {}
            Harm::Delay(time) => thread::sleep(time),
            Harm::Reset => break,
            Harm::Silence => continue,
            Harm::LoseAnswers if way == Way::Back => continue,
            Harm::LoseAnswers => {}
        }
        if to.write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    // Either side may have closed already.
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
