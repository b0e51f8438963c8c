//! Logging to standard error as text or JSON, with a level per target and a rate limit.

use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use tansyjunction_settings::{Format, Level, LogSettings};
use tracing::field::{Field, Visit};
use tracing::level_filters::LevelFilter;
use tracing::{Event, Metadata, Subscriber};
use tracing_subscriber::fmt::format::{Json, Writer};
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::layer::{Context, Filter, Layer, SubscriberExt};
use tracing_subscriber::registry::LookupSpan;

/// Installs the logger for the process.
pub fn start(settings: &LogSettings) -> Result<(), String> {
    let bound = Arc::new(RateLimit::new(settings.lines_a_second));
    let layer = tracing_subscriber::fmt::layer().with_writer(std::io::stderr);
    let layer = match settings.format {
        Format::Text => layer.event_format(Line { bound: bound.clone(), inner: Text }).boxed(),
        Format::Json => {
            let json = tracing_subscriber::fmt::format().json().flatten_event(true);
            layer.json().event_format(Line { bound: bound.clone(), inner: json }).boxed()
        }
    };
    let filter = LevelFilterByTarget { settings: settings.clone(), bound };
    let subscriber = tracing_subscriber::registry().with(layer.with_filter(filter));
    tracing::subscriber::set_global_default(subscriber).map_err(|error| format!("log: {error}"))
}

/// Number of lines in the current second, and of suppressed ones.
struct LineCount {
    began: Option<Instant>,
    lines: u64,
    left_out: u64,
}

/// Rate limit per second; suppressed lines are counted and reported with the next line.
struct RateLimit {
    most: u64,
    second: Mutex<LineCount>,
}

impl RateLimit {
    fn new(most: u64) -> Self {
        RateLimit { most, second: Mutex::new(LineCount { began: None, lines: 0, left_out: 0 }) }
    }

    /// Whether another line may be written now.
    fn allows(&self, now: Instant) -> bool {
        let Ok(mut second) = self.second.lock() else { return false };
        let anew = second.began.is_none_or(|began| now.duration_since(began) >= Duration::from_secs(1));
        if anew {
            (second.began, second.lines) = (Some(now), 0);
        }
        let allowed = self.most == 0 || second.lines < self.most;
        if allowed {
            second.lines += 1
        } else {
            second.left_out += 1
        }
        allowed
    }

    fn take_left_out(&self) -> u64 {
        self.second.lock().map_or(0, |mut second| std::mem::take(&mut second.left_out))
    }
}

/// Filter by target level, then by rate.
struct LevelFilterByTarget {
    settings: LogSettings,
    bound: Arc<RateLimit>,
}

impl LevelFilterByTarget {
    fn level(&self, part: &str) -> LevelFilter {
        match self.settings.levels.get(part).unwrap_or(&self.settings.level) {
            Level::Off => LevelFilter::OFF,
            Level::Error => LevelFilter::ERROR,
            Level::Warn => LevelFilter::WARN,
            Level::Info => LevelFilter::INFO,
            Level::Debug => LevelFilter::DEBUG,
            Level::Trace => LevelFilter::TRACE,
        }
    }
}

impl<S: Subscriber> Filter<S> for LevelFilterByTarget {
    fn enabled(&self, about: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        // Other crates are only logged at level error.
        let ours = tansyjunction_settings::LOG_TARGETS.contains(&about.target());
        let level = if ours { self.level(about.target()) } else { LevelFilter::ERROR };
        *about.level() <= level
    }

    fn event_enabled(&self, _: &Event<'_>, _: &Context<'_, S>) -> bool {
        self.bound.allows(Instant::now())
    }
}

/// Formats a line, followed by the number of lines suppressed before it.
struct Line<F> {
    bound: Arc<RateLimit>,
    inner: F,
}

impl<S, N> FormatEvent<S, N> for Line<Text>
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(
        &self,
        _: &FmtContext<'_, S, N>,
        mut writer: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        self.inner.write(&mut writer, event)?;
        match self.bound.take_left_out() {
            0 => writeln!(writer),
            left_out => writeln!(writer, " ({left_out} lines suppressed)"),
        }
    }
}

impl<S, N, T> FormatEvent<S, N> for Line<tracing_subscriber::fmt::format::Format<Json, T>>
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
    tracing_subscriber::fmt::format::Format<Json, T>: FormatEvent<S, N>,
{
    fn format_event(
        &self,
        context: &FmtContext<'_, S, N>,
        mut writer: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        let left_out = self.bound.take_left_out();
        if left_out > 0 {
            writeln!(writer, r#"{{"level":"WARN","target":"limits","left_out":{left_out}}}"#)?;
        }
        self.inner.format_event(context, writer, event)
    }
}

/// Program name, message, then the other fields.
struct Text;

impl Text {
    fn write(&self, writer: &mut Writer<'_>, event: &Event<'_>) -> fmt::Result {
        let mut parts = Parts::default();
        event.record(&mut parts);
        write!(writer, "tansyjunction: {}{}", parts.message, parts.others)
    }
}

#[derive(Default)]
struct Parts {
    message: String,
    others: String,
}

impl Visit for Parts {
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        match field.name() {
            "message" => self.message = format!("{value:?}"),
            name => self.others += &format!(" {name}={value:?}"),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_goes_beyond_the_bound_is_counted_and_told_once() {
        let (bound, now) = (RateLimit::new(2), Instant::now());
        assert_eq!([0; 5].map(|_: i32| bound.allows(now)), [true, true, false, false, false]);
        let later = now + Duration::from_secs(1);
        assert!(bound.allows(later));
        assert_eq!([bound.take_left_out(), bound.take_left_out()], [3, 0]);
        let unbounded = RateLimit::new(0);
        assert!((0..100).all(|_| unbounded.allows(now)));
    }
}
