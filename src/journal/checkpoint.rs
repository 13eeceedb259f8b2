//! Checkpoints: a view as text, cut into parts that a stream can carry.
//!
//! The text is a pure function of the prefix, so any daemon may write it and twice does no harm.

use serde::{Deserialize, Serialize};

use super::{LogError, PlatformLog, CHECKPOINTS, CHECKPOINT_PARTS};
use crate::contract::View;
use crate::types::{format_id, new_operation_id, Offset};
use std::time::Duration;

/// Longest part of a checkpoint in one record.
pub const PART_LIMIT_BYTES: usize = 256 * 1024;

/// Says that a whole checkpoint is in the stream of parts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CheckpointMarker {
    /// The checkpoint stands for every record below this offset.
    pub next: Offset,
    /// Names the parts that belong together.
    pub writing: String,
    /// Offset of the first part.
    pub first_part: Offset,
    /// How many parts there are.
    pub part_count: usize,
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Part {
    writing: String,
    index: usize,
    text: String,
}

/// Appends a checkpoint: first its parts, then the marker that makes it known.
pub fn write(log: &dyn PlatformLog, next: Offset, text: &str) -> Result<(), LogError> {
    let writing = format_id(new_operation_id());
    let mut first_part = None;
    let mut part_count = 0;
    for piece in pieces(text) {
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

/// The text of the newest checkpoint that is kept whole and can be read, none when there is none.
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
            // The parts that another marker names may still be there.
            Err(error) => failed = Some(error),
        }
    }
    failed.map_or(Ok(None), Err)
}

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

/// Reads a stream up to its end; `take` says whether enough was read.
fn read_all(
    log: &dyn PlatformLog,
    stream: &str,
    from: Offset,
    batch_count: usize,
    take: &mut dyn FnMut(&str) -> bool,
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
            if take(&record.body) {
                return Ok(());
            }
        }
        from = batch.next;
    }
}

fn pieces(text: &str) -> Vec<&str> {
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
