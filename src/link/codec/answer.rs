//! Encodes and decodes the answers of peers.

use std::time::Duration;

use capnp::Error;

use super::member::{
    read_daemon_entries, read_daemon_ids, read_deltas, read_summaries, write_daemon_entries,
    write_daemon_ids, write_deltas, write_summaries,
};
use super::summary::{read_server_summaries, write_server_summaries};
use super::{read_request_id, to_ms};
use crate::journal::LogRecord;
use crate::link::message::{
    BorrowAnswer, ClaimAnswer, FenceAnswer, LeaseAnswer, PeerAnswer, RecordsAnswer,
};
use crate::link::peer_capnp::{answer, ClaimState, FenceState};
use crate::membership::{CompareAnswer, Gossip, MembersAnswer};
use crate::rollout::{RolloutReport, RolloutStep};

/// Encodes an answer into a Cap'n Proto message.
pub fn write_answer(value: &PeerAnswer, mut out: answer::Builder<'_>) {
    match value {
        PeerAnswer::Done => out.set_done(()),
        PeerAnswer::Borrow(borrow) => {
            let mut group = out.init_borrow();
            group.set_count(borrow.count);
            group.set_lapses_after_ms(to_ms(borrow.lapses_after));
            group.set_retry_after_ms(to_ms(borrow.retry_after));
        }
        PeerAnswer::Lease(lease) => {
            let mut group = out.init_promise();
            group.set_given(lease.holds_for.is_some());
            group.set_holds_for_ms(lease.holds_for.map_or(0, to_ms));
        }
        PeerAnswer::Fence(fence) => out.set_fence(match fence {
            FenceAnswer::Fenced => FenceState::Fenced,
            FenceAnswer::Running => FenceState::Running,
            FenceAnswer::Ended => FenceState::Ended,
            FenceAnswer::Unknown => FenceState::Unknown,
        }),
        PeerAnswer::Claim(claim) => write_claim(claim, out.init_claim()),
        PeerAnswer::Records(records) => write_records(records, out.init_records()),
        PeerAnswer::Gossip(gossip) => {
            let mut group = out.init_gossip();
            group.set_digest(gossip.digest);
            let count = gossip.summaries.len() as u32;
            write_summaries(&gossip.summaries, group.reborrow().init_summaries(count));
            let count = gossip.entries.len() as u32;
            write_daemon_entries(&gossip.entries, group.reborrow().init_entries(count));
            let count = gossip.wanted.len() as u32;
            write_daemon_ids(&gossip.wanted, group.reborrow().init_wanted(count));
            group.set_known(gossip.known);
            let count = gossip.deltas.len() as u32;
            write_deltas(&gossip.deltas, group.init_deltas(count));
        }
        PeerAnswer::Compare(compare) => {
            let mut group = out.init_compare();
            group.set_deeper(compare.deeper);
            group.set_listed(compare.listed);
            let count = compare.summaries.len() as u32;
            write_summaries(&compare.summaries, group.init_summaries(count));
        }
        PeerAnswer::Members(members) => write_members(members, out.init_members()),
        PeerAnswer::Rollout(report) => {
            let mut group = out.init_rollout();
            group.set_open_count(report.open_count);
            group.set_step(report.step.number());
            let count = report.servers.len() as u32;
            write_server_summaries(&report.servers, group.init_servers(count));
        }
        PeerAnswer::Summary(servers) => {
            write_server_summaries(servers, out.init_summary(servers.len() as u32));
        }
        PeerAnswer::Probe(reached) => out.set_probe(*reached),
    }
}

/// Encodes the answer to a claim of an idempotency key.
fn write_claim(claim: &ClaimAnswer, mut out: answer::claim::Builder<'_>) {
    match claim {
        ClaimAnswer::Granted => out.set_state(ClaimState::Granted),
        ClaimAnswer::Unknown => out.set_state(ClaimState::Unknown),
        ClaimAnswer::Taken { by } => {
            out.set_state(ClaimState::Taken);
            out.set_by(&by.to_be_bytes());
        }
    }
}

/// Encodes the records or the checkpoint of a stream.
fn write_records(records: &RecordsAnswer, mut out: answer::records::Builder<'_>) {
    if let Some(checkpoint) = &records.checkpoint {
        out.set_checkpoint(&**checkpoint);
    }
    out.set_next(records.next);
    let mut list = out.init_records(records.records.len() as u32);
    for (index, record) in records.records.iter().enumerate() {
        let mut item = list.reborrow().get(index as u32);
        item.set_offset(record.offset);
        item.set_body(&*record.body);
    }
}

/// Encodes one page of the fleet's description.
fn write_members(members: &MembersAnswer, mut out: answer::members::Builder<'_>) {
    out.set_next(&*members.next);
    out.set_complete(members.complete);
    let count = members.summaries.len() as u32;
    write_summaries(&members.summaries, out.reborrow().init_summaries(count));
    let count = members.entries.len() as u32;
    write_daemon_entries(&members.entries, out.init_entries(count));
}

/// Decodes an answer; fails on a malformed or unknown value.
pub fn read_answer(value: answer::Reader<'_>) -> Result<PeerAnswer, Error> {
    let found = match value.which()? {
        answer::Done(()) => PeerAnswer::Done,
        answer::Borrow(group) => PeerAnswer::Borrow(BorrowAnswer {
            count: group.get_count(),
            lapses_after: Duration::from_millis(group.get_lapses_after_ms()),
            retry_after: Duration::from_millis(group.get_retry_after_ms()),
        }),
        answer::Promise(group) => PeerAnswer::Lease(LeaseAnswer {
            holds_for: group
                .get_given()
                .then(|| Duration::from_millis(group.get_holds_for_ms())),
        }),
        answer::Fence(state) => PeerAnswer::Fence(match state? {
            FenceState::Fenced => FenceAnswer::Fenced,
            FenceState::Running => FenceAnswer::Running,
            FenceState::Ended => FenceAnswer::Ended,
            FenceState::Unknown => FenceAnswer::Unknown,
        }),
        answer::Claim(group) => PeerAnswer::Claim(match group.get_state()? {
            ClaimState::Granted => ClaimAnswer::Granted,
            ClaimState::Unknown => ClaimAnswer::Unknown,
            ClaimState::Taken => ClaimAnswer::Taken {
                by: read_request_id(group.get_by()?)?,
            },
        }),
        answer::Records(group) => PeerAnswer::Records(read_records(group)?),
        answer::Gossip(group) => PeerAnswer::Gossip(Gossip {
            summaries: read_summaries(group.get_summaries()?)?,
            entries: read_daemon_entries(group.get_entries()?)?,
            deltas: read_deltas(group.get_deltas()?)?,
            wanted: read_daemon_ids(group.get_wanted()?)?,
            known: group.get_known(),
            digest: group.get_digest(),
        }),
        answer::Compare(group) => PeerAnswer::Compare(CompareAnswer {
            summaries: read_summaries(group.get_summaries()?)?,
            deeper: group.get_deeper(),
            listed: group.get_listed(),
        }),
        answer::Members(group) => PeerAnswer::Members(MembersAnswer {
            summaries: read_summaries(group.get_summaries()?)?,
            entries: read_daemon_entries(group.get_entries()?)?,
            next: group.get_next()?.to_str()?.into(),
            complete: group.get_complete(),
        }),
        answer::Summary(servers) => PeerAnswer::Summary(read_server_summaries(servers?)?),
        answer::Rollout(group) => PeerAnswer::Rollout(RolloutReport {
            servers: read_server_summaries(group.get_servers()?)?,
            open_count: group.get_open_count(),
            step: RolloutStep::from_number(group.get_step()),
        }),
        answer::Probe(reached) => PeerAnswer::Probe(reached),
    };
    Ok(found)
}

/// Decodes the records or the checkpoint of a stream.
fn read_records(group: answer::records::Reader<'_>) -> Result<RecordsAnswer, Error> {
    let mut records = Vec::new();
    for record in group.get_records()? {
        records.push(LogRecord {
            offset: record.get_offset(),
            body: record.get_body()?.to_string()?,
        });
    }
    let checkpoint = match group.has_checkpoint() {
        true => Some(group.get_checkpoint()?.to_string()?),
        false => None,
    };
    Ok(RecordsAnswer {
        checkpoint,
        records,
        next: group.get_next(),
    })
}
