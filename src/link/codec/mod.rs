//! Encodes and decodes the requests and answers of peers in Cap'n Proto.

mod answer;
mod member;
mod request;
mod summary;

use std::time::Duration;

use capnp::message::Builder;
use capnp::serialize::compute_serialized_size_in_words;
use capnp::Error;

pub use answer::{read_answer, write_answer};
pub use request::{read_request, write_request};

use super::message::{PeerAnswer, PeerName, PeerRequest};
use super::peer_capnp::peer_name;

/// Returns the error for a value that can't be decoded.
pub(super) fn malformed(what: &str) -> Error {
    Error::failed(format!("malformed {what}"))
}

pub(super) fn write_peer_name(name: &PeerName, mut out: peer_name::Builder<'_>) {
    out.set_daemon(&*name.daemon);
    out.set_incarnation(name.incarnation);
}

pub(super) fn read_peer_name(name: peer_name::Reader<'_>) -> Result<PeerName, Error> {
    Ok(PeerName {
        daemon: name.get_daemon()?.to_str()?.into(),
        incarnation: name.get_incarnation(),
    })
}

fn read_request_id(data: &[u8]) -> Result<u128, Error> {
    let bytes: [u8; 16] = data.try_into().map_err(|_| malformed("request id"))?;
    Ok(u128::from_be_bytes(bytes))
}

fn read_hash(data: &[u8]) -> Result<[u8; 32], Error> {
    data.try_into().map_err(|_| malformed("hash"))
}

/// Returns a duration in whole milliseconds.
fn to_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the length of an encoded request in bytes, without the call that carries it.
pub fn request_bytes(request: &PeerRequest) -> usize {
    let mut message = Builder::new_default();
    write_request(request, message.init_root());
    compute_serialized_size_in_words(&message) * WORD_BYTES
}

/// Returns the length of an encoded answer in bytes, without the call's return that carries it.
pub fn answer_bytes(answer: &PeerAnswer) -> usize {
    let mut message = Builder::new_default();
    write_answer(answer, message.init_root());
    compute_serialized_size_in_words(&message) * WORD_BYTES
}

/// Bytes in one word of the Cap'n Proto encoding.
const WORD_BYTES: usize = 8;
