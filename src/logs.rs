//! Logging by log4rs to standard error, as JSON or plain text.

use log::LevelFilter;
use log4rs::{
    append::console::{ConsoleAppender, Target},
    config::{Appender, Config, Logger, Root},
    encode::{Encode, json::JsonEncoder, pattern::PatternEncoder},
};

use crate::settings::LogFormat;

/// Starts logging; a second call in one process changes nothing.
pub fn start(format: LogFormat) {
    let encoder: Box<dyn Encode> = match format {
        LogFormat::Json => Box::new(JsonEncoder::new()),
        LogFormat::Plain => Box::new(PatternEncoder::new("{d} {l} {t} {m}{n}")),
    };
    let appender = ConsoleAppender::builder()
        .target(Target::Stderr)
        .encoder(encoder)
        .build();
    let built = Config::builder()
        .appender(Appender::builder().build("stderr", Box::new(appender)))
        // Libraries log each call; only their warnings are changes of state.
        .logger(Logger::builder().build("ryevalve", LevelFilter::Info))
        .build(Root::builder().appender("stderr").build(LevelFilter::Warn));
    if let Ok(config) = built {
        // An error only says that logging has been started before.
        let _ = log4rs::init_config(config);
    }
}
