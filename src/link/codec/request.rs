//! Encodes and decodes the requests of peers.

use std::time::Duration;

use capnp::{struct_list, Error};

use super::member::{
    read_daemon_entries, read_daemon_ids, read_deltas, read_summaries, write_daemon_entries,
    write_daemon_ids, write_deltas, write_summaries,
};
use super::{read_hash, read_peer_name, read_request_id, to_ms, write_peer_name};
use crate::link::message::{
    BorrowRequest, ClaimRequest, ClaimStep, EscrowId, FenceRequest, LeaseRequest, PeerRequest,
    PoisonReport, RecordsRequest,
};
use crate::link::peer_capnp::{escrow_id, poison_report, request};
use crate::membership::{CompareRequest, Gossip, MembersRequest};
use crate::rollout::{RolloutCall, RolloutStep};
use crate::types::KeyHash;

/// Encodes a request into a Cap'n Proto message.
pub fn write_request(value: &PeerRequest, mut out: request::Builder<'_>) {
    match value {
        PeerRequest::Borrow(borrow) => {
            let mut group = out.init_borrow();
            group.set_count(borrow.count);
            write_escrow_id(&borrow.escrow, group.init_escrow());
        }
        PeerRequest::Lease(lease) => {
            let mut group = out.init_promise();
            write_peer_name(&lease.holder, group.reborrow().init_holder());
            write_peer_name(&lease.grantor, group.init_custodian());
        }
        PeerRequest::Fence(fence) => {
            let mut group = out.init_fence();
            group.set_request(&fence.request.to_be_bytes());
            group.set_attempt(fence.attempt);
            group.set_incarnation(fence.incarnation);
        }
        PeerRequest::Cancel(id) => out.set_cancel(&id.to_be_bytes()),
        PeerRequest::Claim(claim) => {
            let mut group = out.init_claim();
            group.set_organisation(&*claim.organisation);
            group.set_idempotency_key(&*claim.idempotency_key);
            group.set_request(&claim.request.to_be_bytes());
            group.set_release(claim.step == ClaimStep::Release);
        }
        PeerRequest::Records(records) => {
            let mut group = out.init_records();
            group.set_stream(&*records.stream);
            group.set_from(records.from);
            group.set_era(records.era);
            group.set_limit_count(records.limit_count);
        }
        PeerRequest::Tombstones(keys) => {
            let mut list = out.init_tombstones(keys.len() as u32);
            for (index, key) in keys.iter().enumerate() {
                list.set(index as u32, key);
            }
        }
        PeerRequest::Poison(reports) => {
            write_poison_reports(reports, out.init_poison(reports.len() as u32));
        }
        PeerRequest::Gossip(gossip) => write_gossip(gossip, out.init_gossip()),
        PeerRequest::Compare(compare) => {
            let mut group = out.init_compare();
            group.set_depth(compare.depth);
            group.set_prefix(compare.prefix);
            let mut list = group.init_digests(compare.digests.len() as u32);
            for (index, digest) in compare.digests.iter().enumerate() {
                list.set(index as u32, *digest);
            }
        }
        PeerRequest::Members(members) => {
            let mut group = out.init_members();
            group.set_after(&*members.after);
            group.set_limit_bytes(members.limit_bytes);
        }
        PeerRequest::Summary(service) => out.set_summary(&**service),
        PeerRequest::Rollout(call) => {
            let mut group = out.init_rollout();
            group.set_service(&*call.service);
            group.set_target_version(&*call.target_version);
            group.set_order(call.order);
            group.set_step(call.step.number());
            group.set_holds_for_ms(to_ms(call.holds_for));
        }
        PeerRequest::Probe(daemon) => out.set_probe(&**daemon),
    }
}

/// Encodes which allowance is borrowed from.
fn write_escrow_id(escrow: &EscrowId, mut out: escrow_id::Builder<'_>) {
    match escrow {
        EscrowId::Organisation(organisation) => out.set_organisation(&**organisation),
        EscrowId::Service(service) => out.set_service(&**service),
    }
}

/// Encodes a list of poison reports.
fn write_poison_reports(
    reports: &[PoisonReport],
    mut out: struct_list::Builder<'_, poison_report::Owned>,
) {
    for (index, report) in reports.iter().enumerate() {
        let mut item = out.reborrow().get(index as u32);
        item.set_fingerprint(&report.fingerprint);
        item.set_death_count(report.death_count);
        item.set_holds_for_ms(to_ms(report.holds_for));
    }
}

/// Encodes a gossip message.
fn write_gossip(gossip: &Gossip, mut out: request::gossip::Builder<'_>) {
    out.set_digest(gossip.digest);
    let count = gossip.summaries.len() as u32;
    write_summaries(&gossip.summaries, out.reborrow().init_summaries(count));
    let count = gossip.entries.len() as u32;
    write_daemon_entries(&gossip.entries, out.reborrow().init_entries(count));
    let count = gossip.wanted.len() as u32;
    write_daemon_ids(&gossip.wanted, out.reborrow().init_wanted(count));
    out.set_known(gossip.known);
    let count = gossip.deltas.len() as u32;
    write_deltas(&gossip.deltas, out.init_deltas(count));
}

/// Decodes a request; fails on a malformed or unknown value.
pub fn read_request(value: request::Reader<'_>) -> Result<PeerRequest, Error> {
    let found = match value.which()? {
        request::Borrow(group) => PeerRequest::Borrow(BorrowRequest {
            escrow: read_escrow_id(group.get_escrow()?)?,
            count: group.get_count(),
        }),
        request::Promise(group) => PeerRequest::Lease(LeaseRequest {
            holder: read_peer_name(group.get_holder()?)?,
            grantor: read_peer_name(group.get_custodian()?)?,
        }),
        request::Fence(group) => PeerRequest::Fence(FenceRequest {
            request: read_request_id(group.get_request()?)?,
            attempt: group.get_attempt(),
            incarnation: group.get_incarnation(),
        }),
        request::Cancel(id) => PeerRequest::Cancel(read_request_id(id?)?),
        request::Claim(group) => PeerRequest::Claim(ClaimRequest {
            step: match group.get_release() {
                true => ClaimStep::Release,
                false => ClaimStep::Take,
            },
            organisation: group.get_organisation()?.to_str()?.into(),
            idempotency_key: group.get_idempotency_key()?.to_string()?,
            request: read_request_id(group.get_request()?)?,
        }),
        request::Records(group) => PeerRequest::Records(RecordsRequest {
            stream: group.get_stream()?.to_string()?,
            from: group.get_from(),
            era: group.get_era(),
            limit_count: group.get_limit_count(),
        }),
        request::Tombstones(keys) => PeerRequest::Tombstones(read_key_hashes(keys?)?),
        request::Poison(reports) => PeerRequest::Poison(read_poison_reports(reports?)?),
        request::Gossip(group) => PeerRequest::Gossip(Gossip {
            summaries: read_summaries(group.get_summaries()?)?,
            entries: read_daemon_entries(group.get_entries()?)?,
            deltas: read_deltas(group.get_deltas()?)?,
            wanted: read_daemon_ids(group.get_wanted()?)?,
            known: group.get_known(),
            digest: group.get_digest(),
        }),
        request::Compare(group) => PeerRequest::Compare(CompareRequest {
            depth: group.get_depth(),
            prefix: group.get_prefix(),
            digests: group.get_digests()?.iter().collect(),
        }),
        request::Members(group) => PeerRequest::Members(MembersRequest {
            after: group.get_after()?.to_str()?.into(),
            limit_bytes: group.get_limit_bytes(),
        }),
        request::Summary(service) => PeerRequest::Summary(service?.to_str()?.into()),
        request::Rollout(group) => PeerRequest::Rollout(RolloutCall {
            service: group.get_service()?.to_str()?.into(),
            target_version: group.get_target_version()?.to_str()?.into(),
            order: group.get_order(),
            step: RolloutStep::from_number(group.get_step()),
            holds_for: Duration::from_millis(group.get_holds_for_ms()),
        }),
        request::Probe(daemon) => PeerRequest::Probe(daemon?.to_str()?.into()),
    };
    Ok(found)
}

/// Decodes which allowance is borrowed from.
fn read_escrow_id(escrow: escrow_id::Reader<'_>) -> Result<EscrowId, Error> {
    match escrow.which()? {
        escrow_id::Organisation(name) => Ok(EscrowId::Organisation(name?.to_str()?.into())),
        escrow_id::Service(name) => Ok(EscrowId::Service(name?.to_str()?.into())),
    }
}

/// Decodes a list of hashes of withdrawn keys.
fn read_key_hashes(keys: capnp::data_list::Reader<'_>) -> Result<Vec<KeyHash>, Error> {
    let mut found = Vec::new();
    for key in keys {
        found.push(read_hash(key?)?);
    }
    Ok(found)
}

/// Decodes a list of poison reports.
fn read_poison_reports(
    reports: struct_list::Reader<'_, poison_report::Owned>,
) -> Result<Vec<PoisonReport>, Error> {
    let mut found = Vec::new();
    for report in reports {
        found.push(PoisonReport {
            fingerprint: read_hash(report.get_fingerprint()?)?,
            death_count: report.get_death_count(),
            holds_for: Duration::from_millis(report.get_holds_for_ms()),
        });
    }
    Ok(found)
}
