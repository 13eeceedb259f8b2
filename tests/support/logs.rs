//! What processes print, and notes of a test beside it, kept in the directory that `SOAK_LOGS` names.
//! Without it nothing is kept.

use std::fs::{File, OpenOptions};
use std::io::{copy, sink, Read, Write};
use std::path::PathBuf;
use std::thread;
use std::time::SystemTime;

/// Most that is kept of one process.
const PROCESS_LIMIT_BYTES: u64 = 64 * 1024 * 1024;

fn directory() -> Option<PathBuf> {
    let directory = PathBuf::from(std::env::var_os("SOAK_LOGS")?);
    std::fs::create_dir_all(&directory).expect("the directory of SOAK_LOGS can be made");
    Some(directory)
}

/// Milliseconds since the epoch, as in the lines of processes.
pub fn now_ms() -> u128 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.expect("the clock is after the epoch").as_millis()
}

/// Keeps what a process prints from now on.
pub fn keep_output(process_id: u32, mut output: impl Read + Send + 'static) {
    let Some(directory) = directory() else {
        return;
    };
    let path = directory.join(format!("process-{process_id}.jsonl"));
    let mut file = File::create(path).expect("the process's file can be made");
    thread::spawn(move || {
        // A pipe that nobody reads would stop the process's writer.
        let _ = copy(&mut output.by_ref().take(PROCESS_LIMIT_BYTES), &mut file);
        let _ = copy(&mut output, &mut sink());
    });
}

/// Appends lines to the notes of this name.
pub fn note(name: &str, lines: &str) {
    let Some(directory) = directory() else {
        return;
    };
    let path = directory.join(format!("{name}.jsonl"));
    let file = OpenOptions::new().create(true).append(true).open(path);
    let mut file = file.expect("the notes can be opened");
    writeln!(file, "{lines}").expect("the notes can be written");
}
