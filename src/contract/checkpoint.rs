//! Writes a view as text and reads it back. The same prefix of the stream results in the same text,
//! byte for byte.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::message::{OrganisationContract, ServiceContract};
use super::state::{KeyState, View};
use crate::allowance::partition::ShardIndex;
use crate::types::{format_id, parse_id, DomainId, Offset, OrganisationId, OFFSET_LIMIT};
use crate::wire::hex;

/// The JSON form of a view. Objects are sorted by name, so that the text depends on the prefix
/// alone.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Checkpoint {
    /// Offset of the first record that the view does not contain.
    next: Offset,
    /// Offset of the last record that changed the failure domains out of service.
    domains_version: Option<Offset>,
    /// Shard counts that differ from those that the contracts alone would lead to.
    shard_counts: BTreeMap<OrganisationId, ShardIndex>,
    /// Failure domains that are out of service.
    domains_out: BTreeSet<DomainId>,
    /// Failure domains that were returned to service, with the offset of that record.
    domains_back: BTreeMap<DomainId, Offset>,
    /// Version and contract of each service.
    services: Vec<(Offset, Arc<ServiceContract>)>,
    /// Version and contract of each organisation.
    organisations: Vec<(Offset, Arc<OrganisationContract>)>,
    /// Hash in hexadecimal, organisation, version, and whether the key is withdrawn.
    keys: Vec<(String, OrganisationId, Offset, bool)>,
    /// The newest operations, oldest first.
    operations: Vec<String>,
}

impl View {
    /// Returns the view as text, without tombstones: a pure function of the prefix below `next`.
    pub fn to_checkpoint(&self) -> String {
        let mut services = Vec::with_capacity(self.services.len());
        for (id, contract) in &self.services {
            let version = self.service_versions.get(id).copied().unwrap_or(0);
            services.push((version, contract.clone()));
        }
        services.sort_by(|a, b| a.1.service.cmp(&b.1.service));
        let mut organisations = Vec::with_capacity(self.organisations.len());
        for (id, contract) in &self.organisations {
            let version = self.organisation_versions.get(id).copied().unwrap_or(0);
            organisations.push((version, contract.clone()));
        }
        organisations.sort_by(|a, b| a.1.organisation.cmp(&b.1.organisation));
        let mut keys = Vec::with_capacity(self.keys.len());
        for (key_hash, state) in &self.keys {
            let organisation = state.organisation.clone();
            let hash = hex::encode(key_hash);
            keys.push((hash, organisation, state.version, state.withdrawn));
        }
        keys.sort();
        let operations = self.operations.iter().map(|id| format_id(*id)).collect();
        let checkpoint = Checkpoint {
            next: self.next,
            domains_version: self.domains_version,
            shard_counts: self.shard_counts.clone(),
            domains_out: self.domains_out.clone(),
            domains_back: self.domains_back.clone(),
            services,
            organisations,
            keys,
            operations,
        };
        serde_json::to_string(&checkpoint).expect("a checkpoint serialises to JSON")
    }

    /// Reads a view from its text; none if the text is malformed, or its offset beyond the limit of
    /// all records.
    pub fn from_checkpoint(text: &str) -> Option<View> {
        let checkpoint: Checkpoint = serde_json::from_str(text).ok()?;
        if checkpoint.next > OFFSET_LIMIT {
            return None;
        }
        let mut view = View {
            next: checkpoint.next,
            domains_version: checkpoint.domains_version,
            shard_counts: checkpoint.shard_counts,
            domains_out: checkpoint.domains_out,
            domains_back: checkpoint.domains_back,
            ..Default::default()
        };
        for (version, contract) in checkpoint.services {
            let id = contract.service.clone();
            view.service_versions.insert(id, version);
            view.put_service(contract);
        }
        for (version, contract) in checkpoint.organisations {
            let id = contract.organisation.clone();
            view.organisation_versions.insert(id.clone(), version);
            let contract = Arc::new(view.with_interned_routes(Arc::unwrap_or_clone(contract)));
            view.organisations.insert(id, contract);
        }
        for (hash, organisation, version, withdrawn) in checkpoint.keys {
            let state = KeyState {
                organisation: view.interned_organisation(&organisation),
                version,
                withdrawn,
            };
            view.keys.insert(hex::decode_32(&hash)?, state);
        }
        for operation in checkpoint.operations {
            view.record_operation(parse_id(&operation)?);
        }
        Some(view)
    }
}
