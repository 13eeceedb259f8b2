//! The log of the process: lines with time, level, thread and text on standard error.

use crate::settings::log::LogSettings;

/// Starts logging as the settings ask.
pub fn start(settings: &LogSettings) -> eyre::Result<()> {
    let level = settings.level().unwrap_or(log::LevelFilter::Info);
    fern::Dispatch::new()
        .format(|out, message, record| {
            let now = humantime::format_rfc3339_millis(std::time::SystemTime::now());
            let thread = std::thread::current();
            let name = thread.name().unwrap_or("-");
            out.finish(format_args!("{now} {:5} {name} {message}", record.level()));
        })
        .level(level)
        .level_for("attohttpc", log::LevelFilter::Warn)
        .level_for("tiny_http", log::LevelFilter::Warn)
        .chain(std::io::stderr())
        .apply()?;
    Ok(())
}
