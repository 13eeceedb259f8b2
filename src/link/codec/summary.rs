//! Encodes and decodes the request statistics of backend servers.

use capnp::{struct_list, Error};

use crate::health::{RouteCounts, RouteSummary, ServerSummary};
use crate::link::peer_capnp::{route_counts, route_summary, server_summary};

pub(super) fn write_server_summaries(
    servers: &[ServerSummary],
    mut out: struct_list::Builder<'_, server_summary::Owned>,
) {
    for (index, server) in servers.iter().enumerate() {
        let mut item = out.reborrow().get(index as u32);
        item.set_server(&*server.server);
        let mut routes = item.init_routes(server.routes.len() as u32);
        for (index, route) in server.routes.iter().enumerate() {
            write_route_summary(route, routes.reborrow().get(index as u32));
        }
    }
}

fn write_route_summary(route: &RouteSummary, mut out: route_summary::Builder<'_>) {
    out.set_route(&*route.route);
    write_route_counts(&route.recent, out.reborrow().init_recent());
    write_route_counts(&route.long, out.init_long());
}

fn write_route_counts(counts: &RouteCounts, mut out: route_counts::Builder<'_>) {
    out.set_seen_count(counts.seen_count);
    out.set_failed_count(counts.failed_count);
    out.set_stuck_count(counts.stuck_count);
    let mut buckets = out.init_buckets(counts.buckets.len() as u32);
    for (index, count) in counts.buckets.iter().enumerate() {
        buckets.set(index as u32, *count);
    }
}

pub(super) fn read_server_summaries(
    servers: struct_list::Reader<'_, server_summary::Owned>,
) -> Result<Vec<ServerSummary>, Error> {
    let mut found = Vec::new();
    for server in servers {
        let routes: Result<Vec<_>, Error> = server
            .get_routes()?
            .iter()
            .map(read_route_summary)
            .collect();
        found.push(ServerSummary {
            server: server.get_server()?.to_str()?.into(),
            routes: routes?,
        });
    }
    Ok(found)
}

fn read_route_summary(route: route_summary::Reader<'_>) -> Result<RouteSummary, Error> {
    Ok(RouteSummary {
        route: route.get_route()?.to_str()?.into(),
        recent: read_route_counts(route.get_recent()?)?,
        long: read_route_counts(route.get_long()?)?,
    })
}

fn read_route_counts(counts: route_counts::Reader<'_>) -> Result<RouteCounts, Error> {
    Ok(RouteCounts {
        seen_count: counts.get_seen_count(),
        failed_count: counts.get_failed_count(),
        stuck_count: counts.get_stuck_count(),
        buckets: counts.get_buckets()?.iter().collect(),
    })
}
