//! Checkpoints of the configuration: a view as text, split into parts that fit into log records.
//!
//! The text depends only on the records below the checkpoint's offset, so any daemon may write it,
//! and writing it twice does no harm.

use serde::{Deserialize, Serialize};

use super::{LogError, PlatformLog, CHECKPOINTS, CHECKPOINT_PARTS};
use crate::contract::View;
use crate::types::{format_id, new_operation_id, Offset};
use std::time::Duration;

/// Maximum size of one part of a checkpoint, in bytes.
pub const PART_LIMIT_BYTES: usize = 256 * 1024;

/// Record that announces a complete checkpoint and says where its parts are.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CheckpointMarker {
    /// The checkpoint covers every record below this offset.
    pub next: Offset,
    /// Identifier of this write of the checkpoint, which its parts carry too.
    pub writing: String,
    /// Offset of the first part in the stream of parts.
    pub first_part: Offset,
    /// Number of parts of which the checkpoint consists.
    pub part_count: usize,
}

/// One part of a checkpoint's text, as a record of the stream of parts.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Part {
    writing: String,
    index: usize,
    text: String,
}

/// Appends the parts of a checkpoint, then the marker that announces it. Readers ignore parts
/// without a marker.
pub fn write(log: &dyn PlatformLog, next: Offset, text: &str) -> Result<(), LogError> {
    let writing = format_id(new_operation_id());
    let mut first_part = None;
    let mut part_count = 0;
    for piece in split_into_parts(text) {
        let part = Part {
            writing: writing.clone(),
            index: part_count,
            text: piece.to_owned(),
        };
        let offset = log.append(CHECKPOINT_PARTS, &to_json(&part))?;
        first_part.get_or_insert(offset);
        part_count += 1;
    }
    let marker = CheckpointMarker {
        next,
        writing,
        first_part: first_part.unwrap_or(0),
        part_count,
    };
    log.append(CHECKPOINTS, &to_json(&marker)).map(|_| ())
}

/// Returns the text of the newest checkpoint that is complete and can be parsed, or `None` when
/// there is no such checkpoint.
pub fn find(log: &dyn PlatformLog, batch_count: usize) -> Result<Option<String>, LogError> {
    let mut markers = Vec::new();
    read_all(log, CHECKPOINTS, 0, batch_count, &mut |body| {
        if let Ok(marker) = serde_json::from_str::<CheckpointMarker>(body) {
            markers.push(marker);
        }
        false
    })?;
    markers.sort_by_key(|marker| std::cmp::Reverse(marker.next));
    let mut failed = None;
    for marker in &markers {
        match read_parts(log, marker, batch_count) {
            Ok(Some(text)) if View::from_checkpoint(&text).is_some() => return Ok(Some(text)),
            Ok(_) => {}
            // Another marker may name parts that are still kept.
            Err(error) => failed = Some(error),
        }
    }
    failed.map_or(Ok(None), Err)
}

/// Returns the text whose parts a marker names, or `None` when parts are missing.
fn read_parts(
    log: &dyn PlatformLog,
    marker: &CheckpointMarker,
    batch_count: usize,
) -> Result<Option<String>, LogError> {
    let mut text = String::new();
    let mut found_count = 0;
    let from = marker.first_part;
    read_all(log, CHECKPOINT_PARTS, from, batch_count, &mut |body| {
        let Ok(part) = serde_json::from_str::<Part>(body) else {
            return false;
        };
        if part.writing == marker.writing && part.index == found_count {
            text.push_str(&part.text);
            found_count += 1;
        }
        found_count >= marker.part_count
    })?;
    Ok((found_count == marker.part_count).then_some(text))
}

/// Reads a stream from `from` to its end, skipping records that are no longer kept. Stops early
/// when `visit`, which receives each record's text, returns true.
fn read_all(
    log: &dyn PlatformLog,
    stream: &str,
    from: Offset,
    batch_count: usize,
    visit: &mut dyn FnMut(&str) -> bool,
) -> Result<(), LogError> {
    let mut from = from;
    loop {
        let batch = match log.read(stream, from, batch_count, Duration::ZERO) {
            Ok(batch) => batch,
            Err(LogError::Truncated(first)) if first > from => {
                from = first;
                continue;
            }
            Err(error) => return Err(error),
        };
        if batch.records.is_empty() {
            return Ok(());
        }
        for record in &batch.records {
            if visit(&record.body) {
                return Ok(());
            }
        }
        from = batch.next;
    }
}

/// Splits a text at character boundaries into pieces of at most `PART_LIMIT_BYTES`.
fn split_into_parts(text: &str) -> Vec<&str> {
    let mut pieces = Vec::new();
    let mut rest = text;
    while !rest.is_empty() {
        let mut end = rest.len().min(PART_LIMIT_BYTES);
        while !rest.is_char_boundary(end) {
            end -= 1;
        }
        let (piece, left) = rest.split_at(end);
        pieces.push(piece);
        rest = left;
    }
    pieces
}

fn to_json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("plain values become JSON")
}
