//! Log lines by `log` and `fern`, as text or as JSON.

use std::fmt::Arguments;
use std::io;

use fern::{Dispatch, FormatCallback};
use jiff::Timestamp;
use log::{LevelFilter, Record};

use crate::settings::{Format, Level, Log};

/// Installs the process's logger, which writes to the standard error stream.
///
/// # Errors
///
/// Fails if the process has a logger already.
pub fn install(settings: &Log) -> Result<(), log::SetLoggerError> {
    let format = match settings.format {
        Format::Text => text,
        Format::Json => json,
    };
    Dispatch::new()
        .format(format)
        .level(LevelFilter::Warn)
        .level_for("rhubarblatchd", settings.level.filter())
        .chain(io::stderr())
        .apply()
}

impl Level {
    fn filter(self) -> LevelFilter {
        match self {
            Level::Error => LevelFilter::Error,
            Level::Warn => LevelFilter::Warn,
            Level::Info => LevelFilter::Info,
            Level::Debug => LevelFilter::Debug,
        }
    }
}

fn text(out: FormatCallback<'_>, message: &Arguments<'_>, record: &Record<'_>) {
    out.finish(format_args!(
        "{} {:5} {}: {message}",
        Timestamp::now(),
        record.level(),
        record.target(),
    ));
}

fn json(out: FormatCallback<'_>, message: &Arguments<'_>, record: &Record<'_>) {
    let line = serde_json::json!({
        "time": Timestamp::now().to_string(),
        "level": record.level().as_str(),
        "target": record.target(),
        "message": message.to_string(),
    });
    out.finish(format_args!("{line}"));
}
