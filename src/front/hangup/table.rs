//! The kernel's table of TCP connections, as text in `/proc/self/net/tcp`.

use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// State of a connection whose other end has sent its last byte.
const CLOSE_WAIT: &str = "08";
const ESTABLISHED: &str = "01";

/// Connections of one local port, by the caller's address.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ConnectionTable {
    /// Whether the caller still sends or may send.
    alive: HashMap<SocketAddr, bool>,
}

impl ConnectionTable {
    /// Reads the connections of a local port out of the table's text.
    pub fn parse(text: &str, local_port: u16) -> ConnectionTable {
        let local_suffix = format!(":{local_port:04X}");
        let mut table = ConnectionTable::default();
        for line in text.lines().skip(1) {
            let mut fields = line.split_ascii_whitespace().skip(1);
            let (Some(local), Some(remote), Some(state)) =
                (fields.next(), fields.next(), fields.next())
            else {
                continue;
            };
            if !local.ends_with(&local_suffix) || !(state == CLOSE_WAIT || state == ESTABLISHED) {
                continue;
            }
            if let Some(peer) = parse_address(remote) {
                table.alive.insert(peer, state == ESTABLISHED);
            }
        }
        table
    }

    /// Whether the caller at this address has closed its side or its connection is gone. Only
    /// IPv4 callers are known.
    pub fn has_left(&self, peer: &SocketAddr) -> bool {
        peer.is_ipv4() && !self.alive.get(peer).copied().unwrap_or(false)
    }
}

/// An address as the kernel writes it: the bytes of the IPv4 address in reverse, and the port.
fn parse_address(text: &str) -> Option<SocketAddr> {
    let (address, port) = text.split_once(':')?;
    if address.len() != IPV4_DIGIT_COUNT {
        return None;
    }
    let address = u32::from_str_radix(address, 16).ok()?.swap_bytes();
    let port = u16::from_str_radix(port, 16).ok()?;
    Some(SocketAddr::new(IpAddr::V4(Ipv4Addr::from(address)), port))
}

const IPV4_DIGIT_COUNT: usize = 8;
