//! Saves the output of processes and the notes of a test in the directory that the environment
//! variable `SOAK_LOGS` names. Without the variable nothing is saved.

use std::fs::{File, OpenOptions};
use std::io::{copy, sink, Read, Write};
use std::path::PathBuf;
use std::thread;
use std::time::SystemTime;

/// Limit of the saved output of one process; further output is read and dropped.
const OUTPUT_LIMIT_BYTES: u64 = 64 * 1024 * 1024;

/// Returns the directory of `SOAK_LOGS`, which is created if missing; none without the variable.
fn log_directory() -> Option<PathBuf> {
    let directory = PathBuf::from(std::env::var_os("SOAK_LOGS")?);
    std::fs::create_dir_all(&directory).expect("the directory of SOAK_LOGS can be made");
    Some(directory)
}

/// Returns the milliseconds since the Unix epoch, as in the log lines of processes.
pub fn now_ms() -> u128 {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since_epoch
        .expect("the clock is after the epoch")
        .as_millis()
}

/// Saves what a process prints from now on in `process-ID.jsonl`, on a thread of its own.
pub fn save_output(process_id: u32, mut output: impl Read + Send + 'static) {
    let Some(directory) = log_directory() else {
        return;
    };
    let path = directory.join(format!("process-{process_id}.jsonl"));
    let mut file = File::create(path).expect("the process's file can be made");
    thread::spawn(move || {
        // A pipe that nobody reads fills up and blocks the process that writes to it.
        let _ = copy(&mut output.by_ref().take(OUTPUT_LIMIT_BYTES), &mut file);
        let _ = copy(&mut output, &mut sink());
    });
}

/// Appends lines to the notes file `NAME.jsonl`.
pub fn append_notes(name: &str, lines: &str) {
    let Some(directory) = log_directory() else {
        return;
    };
    let path = directory.join(format!("{name}.jsonl"));
    let file = OpenOptions::new().create(true).append(true).open(path);
    let mut file = file.expect("the notes can be opened");
    writeln!(file, "{lines}").expect("the notes can be written");
}
