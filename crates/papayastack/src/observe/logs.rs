//! Logs as structured lines through `log4rs`: records on standard error, spans on standard output.
//!
//! A message starts with the fixed prefix of its component, for example `link:`; the record's
//! target is `papaya::link`, so that levels can be set by component.

use error_stack::{Report, ResultExt};
use log::LevelFilter;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Config, Logger, Root};
use log4rs::encode::Encode;
use log4rs::encode::json::JsonEncoder;
use log4rs::encode::pattern::PatternEncoder;
use papayastack_macros::{closed_set, message};

use super::span::SPAN_TARGET;

pub(super) const TEXT_PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l:<5} {m}{n}";
const SPAN_PATTERN: &str = "{m}{n}";
const COMPONENTS_TARGET: &str = "papaya";
/// The logger of records that name no target; their target is the path of the module.
const MODULES_TARGET: &str = "papayastack";
const RECORDS_APPENDER: &str = "records";
const SPANS_APPENDER: &str = "spans";

/// The format of log lines.
#[closed_set]
pub enum LogFormat {
    /// Time, level and message with its component prefix on one line.
    Text,
    /// One JSON object per line.
    Json,
}

/// How much is logged, and how.
#[message]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// The format of log lines.
    pub format: LogFormat,
    /// The lowest level logged by papayastack itself: `error`, `warn`, `info`, `debug`, `trace`.
    pub level: String,
    /// Whether spans are written to standard output as JSON lines.
    pub spans: bool,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { format: LogFormat::Text, level: "info".to_owned(), spans: false }
    }
}

/// Says why logs could not be opened.
#[papayastack_macros::value]
pub enum LogError {
    /// The level is not one of the known ones.
    UnknownLevel {
        /// The level that was given.
        level: String,
    },
    /// The process already has a logger.
    AlreadyOpen,
}

impl std::fmt::Display for LogError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::UnknownLevel { level } => write!(
                formatter,
                "the log level `{level}` is unknown; use error, warn, info, debug or trace"
            ),
            Self::AlreadyOpen => write!(formatter, "logs were already opened; open them only once"),
        }
    }
}

impl std::error::Error for LogError {}

/// Opens the logs of this process; the returned handle can change their configuration later.
///
/// # Errors
/// The level is unknown, or the process already has a logger.
pub fn open_logs(settings: &LogSettings) -> Result<log4rs::Handle, Report<LogError>> {
    let config = log_config(settings)?;
    log4rs::init_config(config).change_context(LogError::AlreadyOpen)
}

/// Builds the configuration that [`open_logs`] installs.
pub(crate) fn log_config(settings: &LogSettings) -> Result<Config, Report<LogError>> {
    let unknown_level = || LogError::UnknownLevel { level: settings.level.clone() };
    let level: LevelFilter = settings.level.parse().change_context_lazy(unknown_level)?;
    let records =
        ConsoleAppender::builder().target(Target::Stderr).encoder(encoder(settings.format));
    let spans = ConsoleAppender::builder()
        .target(Target::Stdout)
        .encoder(Box::new(PatternEncoder::new(SPAN_PATTERN)));
    let span_level = if settings.spans { LevelFilter::Info } else { LevelFilter::Off };
    let config = Config::builder()
        .appender(Appender::builder().build(RECORDS_APPENDER, Box::new(records.build())))
        .appender(Appender::builder().build(SPANS_APPENDER, Box::new(spans.build())))
        .logger(Logger::builder().build(COMPONENTS_TARGET, level))
        .logger(Logger::builder().build(MODULES_TARGET, level))
        .logger(
            Logger::builder()
                .appender(SPANS_APPENDER)
                .additive(false)
                .build(SPAN_TARGET, span_level),
        )
        .build(Root::builder().appender(RECORDS_APPENDER).build(level.min(LevelFilter::Warn)))
        .expect("appenders and loggers have distinct names");
    Ok(config)
}

fn encoder(format: LogFormat) -> Box<dyn Encode> {
    match format {
        LogFormat::Text => Box::new(PatternEncoder::new(TEXT_PATTERN)),
        LogFormat::Json => Box::new(JsonEncoder::new()),
    }
}
