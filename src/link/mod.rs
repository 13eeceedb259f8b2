//! Control connections to other daemons: calls with answers, and silence detection.

pub mod duty;
pub mod message;

pub use message::{
    BorrowAnswer, BorrowRequest, ClaimAnswer, ClaimRequest, ClaimStep, FenceAnswer, FenceRequest,
    LinkError, LinkMessage, PeerAnswer, PeerHandler, PeerName, PeerReply, PeerRequest,
    PromiseAnswer, PromiseRequest, RecordsAnswer, RecordsRequest,
};
