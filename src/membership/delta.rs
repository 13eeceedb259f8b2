//! Computes, applies and joins deltas, which are sent in place of a whole description.

use std::sync::Arc;

use super::message::{DaemonEntry, Delta, ServerEntry};

/// Most servers in a delta; larger changes are sent as a whole description.
const DELTA_LIMIT_COUNT: usize = 4;

/// Returns the delta from one description to a later one of the same incarnation.
pub(super) fn difference(old: &DaemonEntry, new: &DaemonEntry) -> Delta {
    let is_new = |server: &&ServerEntry| !old.servers.contains(server);
    let is_gone = |server: &&ServerEntry| find_server(&new.servers, server).is_none();
    let removed = old.servers.iter().filter(is_gone);
    Delta {
        daemon: new.daemon.clone(),
        incarnation: new.incarnation,
        from_version: old.version,
        version: new.version,
        leaving: new.leaving,
        servers: new.servers.iter().filter(is_new).cloned().collect(),
        removed: removed.map(|server| server.server.clone()).collect(),
    }
}

/// Returns the server with the same id as `wanted`.
fn find_server<'a>(servers: &'a [ServerEntry], wanted: &ServerEntry) -> Option<&'a ServerEntry> {
    servers.iter().find(|server| server.server == wanted.server)
}

/// Returns whether a delta can be applied to this description.
pub(super) fn applies(delta: &Delta, entry: &DaemonEntry) -> bool {
    let same_life = delta.incarnation == entry.incarnation;
    same_life && delta.from_version <= entry.version && entry.version < delta.version
}

/// Returns the description after a delta was applied.
pub(super) fn apply(delta: &Delta, entry: &DaemonEntry) -> DaemonEntry {
    let mut changed = entry.clone();
    changed.version = delta.version;
    changed.leaving = delta.leaving;
    changed
        .servers
        .retain(|server| !delta.removed.contains(&server.server));
    for server in &delta.servers {
        let known = changed.servers.iter_mut();
        let known = known
            .into_iter()
            .find(|found| found.server == server.server);
        match known {
            Some(known) => *known = server.clone(),
            None => changed.servers.push(server.clone()),
        }
    }
    changed
}

/// Joins a delta with the preceding one, so that it also applies at peers that missed that one.
/// Returns the new delta alone if the joined one is too large, and `None` if both are.
pub(super) fn join(before: Option<&Delta>, next: Delta) -> Option<Arc<Delta>> {
    let follows = |before: &&Delta| {
        before.incarnation == next.incarnation && next.from_version <= before.version
    };
    if let Some(before) = before.filter(follows) {
        let mut joined = next.clone();
        joined.from_version = joined.from_version.min(before.from_version);
        for server in &before.servers {
            let overtaken = find_server(&next.servers, server).is_some();
            if !overtaken && !next.removed.contains(&server.server) {
                joined.servers.push(server.clone());
            }
        }
        for name in &before.removed {
            let back = next.servers.iter().any(|server| server.server == *name);
            if !back && !joined.removed.contains(name) {
                joined.removed.push(name.clone());
            }
        }
        if is_small(&joined) {
            return Some(Arc::new(joined));
        }
    }
    is_small(&next).then(|| Arc::new(next))
}

/// Returns whether a delta names few enough servers to be sent.
fn is_small(delta: &Delta) -> bool {
    delta.servers.len() + delta.removed.len() <= DELTA_LIMIT_COUNT
}
