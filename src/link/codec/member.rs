//! Encodes and decodes the membership's entries, deltas and summaries of daemons.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use capnp::{struct_list, text_list, Error};

use super::malformed;
use crate::link::peer_capnp::{address, daemon_entry, delta, server_entry, summary};
use crate::membership::{DaemonEntry, Delta, ServerEntry, Summary};
use crate::rollout::RolloutStep;
use crate::types::DaemonId;

/// Encodes the description of a daemon with its servers.
pub(super) fn write_daemon_entry(entry: &DaemonEntry, mut out: daemon_entry::Builder<'_>) {
    out.set_daemon(&*entry.daemon);
    out.set_incarnation(entry.incarnation);
    out.set_version(entry.version);
    out.set_domain(&*entry.domain);
    write_address(entry.guard_address, out.reborrow().init_guard_address());
    write_address(entry.link_address, out.reborrow().init_link_address());
    out.set_leaving(entry.leaving);
    let mut servers = out.init_servers(entry.servers.len() as u32);
    for (index, server) in entry.servers.iter().enumerate() {
        write_server_entry(server, servers.reborrow().get(index as u32));
    }
}

/// Encodes the description of a backend server.
fn write_server_entry(server: &ServerEntry, mut out: server_entry::Builder<'_>) {
    out.set_server(&*server.server);
    out.set_service(&*server.service);
    out.set_slots_count(server.slots_count);
    out.set_cold(server.cold);
    out.set_draining(server.draining);
    out.set_share_permille(server.share_permille);
    out.set_software_version(&*server.software_version);
    out.set_rollout_step(server.rollout_step.number());
}

/// Encodes an IP address with its port.
fn write_address(value: SocketAddr, mut out: address::Builder<'_>) {
    match value.ip() {
        IpAddr::V4(ip) => out.set_ip(&ip.octets()),
        IpAddr::V6(ip) => out.set_ip(&ip.octets()),
    }
    out.set_port(value.port());
}

/// Encodes a list of membership changes.
pub(super) fn write_deltas(deltas: &[Arc<Delta>], mut out: struct_list::Builder<'_, delta::Owned>) {
    for (index, delta) in deltas.iter().enumerate() {
        let mut item = out.reborrow().get(index as u32);
        item.set_daemon(&*delta.daemon);
        item.set_incarnation(delta.incarnation);
        item.set_from_version(delta.from_version);
        item.set_version(delta.version);
        item.set_leaving(delta.leaving);
        let mut servers = item.reborrow().init_servers(delta.servers.len() as u32);
        for (index, server) in delta.servers.iter().enumerate() {
            write_server_entry(server, servers.reborrow().get(index as u32));
        }
        write_daemon_ids(
            &delta.removed,
            item.init_removed(delta.removed.len() as u32),
        );
    }
}

/// Decodes a list of membership changes.
pub(super) fn read_deltas(
    deltas: struct_list::Reader<'_, delta::Owned>,
) -> Result<Vec<Arc<Delta>>, Error> {
    let mut found = Vec::new();
    for delta in deltas {
        found.push(Arc::new(Delta {
            daemon: delta.get_daemon()?.to_str()?.into(),
            incarnation: delta.get_incarnation(),
            from_version: delta.get_from_version(),
            version: delta.get_version(),
            leaving: delta.get_leaving(),
            servers: read_server_entries(delta.get_servers()?)?,
            removed: read_daemon_ids(delta.get_removed()?)?,
        }));
    }
    Ok(found)
}

/// Decodes the descriptions of a daemon's servers.
fn read_server_entries(
    servers: struct_list::Reader<'_, server_entry::Owned>,
) -> Result<Vec<ServerEntry>, Error> {
    let mut found = Vec::new();
    for server in servers {
        found.push(ServerEntry {
            server: server.get_server()?.to_str()?.into(),
            service: server.get_service()?.to_str()?.into(),
            slots_count: server.get_slots_count(),
            cold: server.get_cold(),
            draining: server.get_draining(),
            share_permille: server.get_share_permille(),
            software_version: server.get_software_version()?.to_str()?.into(),
            rollout_step: RolloutStep::from_number(server.get_rollout_step()),
        });
    }
    Ok(found)
}

/// Decodes the description of a daemon with its servers.
fn read_daemon_entry(entry: daemon_entry::Reader<'_>) -> Result<DaemonEntry, Error> {
    Ok(DaemonEntry {
        daemon: entry.get_daemon()?.to_str()?.into(),
        incarnation: entry.get_incarnation(),
        version: entry.get_version(),
        domain: entry.get_domain()?.to_str()?.into(),
        guard_address: read_address(entry.get_guard_address()?)?,
        link_address: read_address(entry.get_link_address()?)?,
        leaving: entry.get_leaving(),
        servers: read_server_entries(entry.get_servers()?)?,
    })
}

/// Decodes an IP address with its port.
fn read_address(value: address::Reader<'_>) -> Result<SocketAddr, Error> {
    let data = value.get_ip()?;
    let ip = if let Ok(octets) = <[u8; 4]>::try_from(data) {
        IpAddr::from(octets)
    } else if let Ok(octets) = <[u8; 16]>::try_from(data) {
        IpAddr::from(octets)
    } else {
        return Err(malformed("address"));
    };
    Ok(SocketAddr::new(ip, value.get_port()))
}

/// Encodes a list of descriptions of daemons.
pub(super) fn write_daemon_entries(
    entries: &[Arc<DaemonEntry>],
    mut out: struct_list::Builder<'_, daemon_entry::Owned>,
) {
    for (index, entry) in entries.iter().enumerate() {
        write_daemon_entry(entry, out.reborrow().get(index as u32));
    }
}

/// Decodes a list of descriptions of daemons.
pub(super) fn read_daemon_entries(
    entries: struct_list::Reader<'_, daemon_entry::Owned>,
) -> Result<Vec<Arc<DaemonEntry>>, Error> {
    let mut found = Vec::new();
    for entry in entries {
        found.push(Arc::new(read_daemon_entry(entry)?));
    }
    Ok(found)
}

/// Encodes a list of membership summaries.
pub(super) fn write_summaries(
    summaries: &[Summary],
    mut out: struct_list::Builder<'_, summary::Owned>,
) {
    for (index, summary) in summaries.iter().enumerate() {
        let mut item = out.reborrow().get(index as u32);
        item.set_daemon(&*summary.daemon);
        item.set_incarnation(summary.incarnation);
        item.set_version(summary.version);
        item.set_round(summary.round);
        item.set_suspect(summary.suspect);
    }
}

/// Decodes a list of membership summaries.
pub(super) fn read_summaries(
    summaries: struct_list::Reader<'_, summary::Owned>,
) -> Result<Vec<Summary>, Error> {
    let mut found = Vec::new();
    for summary in summaries {
        found.push(Summary {
            daemon: summary.get_daemon()?.to_str()?.into(),
            incarnation: summary.get_incarnation(),
            version: summary.get_version(),
            round: summary.get_round(),
            suspect: summary.get_suspect(),
        });
    }
    Ok(found)
}

/// Encodes a list of daemon ids.
pub(super) fn write_daemon_ids(names: &[DaemonId], mut out: text_list::Builder<'_>) {
    for (index, name) in names.iter().enumerate() {
        out.set(index as u32, &**name);
    }
}

/// Decodes a list of daemon ids.
pub(super) fn read_daemon_ids(names: text_list::Reader<'_>) -> Result<Vec<DaemonId>, Error> {
    let mut found = Vec::new();
    for name in names {
        found.push(name?.to_str()?.into());
    }
    Ok(found)
}
