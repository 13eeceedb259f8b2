//! Requests and answers of peers in the Cap'n Proto encoding.

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

pub(super) fn malformed(what: &str) -> Error {
    Error::failed(format!("malformed {what}"))
}

pub(super) fn write_name(name: &PeerName, mut out: peer_name::Builder<'_>) {
    out.set_daemon(&*name.daemon);
    out.set_incarnation(name.incarnation);
}

pub(super) fn read_name(name: peer_name::Reader<'_>) -> Result<PeerName, Error> {
    Ok(PeerName {
        daemon: name.get_daemon()?.to_str()?.into(),
        incarnation: name.get_incarnation(),
    })
}

fn read_id(data: &[u8]) -> Result<u128, Error> {
    let bytes: [u8; 16] = data.try_into().map_err(|_| malformed("request id"))?;
    Ok(u128::from_be_bytes(bytes))
}

fn read_hash(data: &[u8]) -> Result<[u8; 32], Error> {
    data.try_into().map_err(|_| malformed("hash"))
}

fn to_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Length of a request in its encoding, without the frame of the call.
pub fn request_bytes(request: &PeerRequest) -> usize {
    let mut message = Builder::new_default();
    write_request(request, message.init_root());
    compute_serialized_size_in_words(&message) * WORD_BYTES
}

/// Length of an answer in its encoding, without the frame of the call.
pub fn answer_bytes(answer: &PeerAnswer) -> usize {
    let mut message = Builder::new_default();
    write_answer(answer, message.init_root());
    compute_serialized_size_in_words(&message) * WORD_BYTES
}

const WORD_BYTES: usize = 8;
