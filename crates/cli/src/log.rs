//! The log: lines on standard error as text or JSON, with a level for each part and so many lines a second at most.

use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use tansyjunction_settings::{Format, Level, Logging};
use tracing::field::{Field, Visit};
use tracing::level_filters::LevelFilter;
use tracing::{Event, Metadata, Subscriber};
use tracing_subscriber::fmt::format::{Json, Writer};
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::layer::{Context, Filter, Layer, SubscriberExt};
use tracing_subscriber::registry::LookupSpan;

/// Has the process log as the settings say, for as long as it lives.
pub fn start(settings: &Logging) -> Result<(), String> {
    let bound = Arc::new(Bound::new(settings.lines_a_second));
    let layer = tracing_subscriber::fmt::layer().with_writer(std::io::stderr);
    let layer = match settings.format {
        Format::Text => layer.event_format(Line { bound: bound.clone(), inner: Text }).boxed(),
        Format::Json => {
            let json = tracing_subscriber::fmt::format().json().flatten_event(true);
            layer.json().event_format(Line { bound: bound.clone(), inner: json }).boxed()
        }
    };
    let filter = Chosen { settings: settings.clone(), bound };
    let subscriber = tracing_subscriber::registry().with(layer.with_filter(filter));
    tracing::subscriber::set_global_default(subscriber).map_err(|error| format!("log: {error}"))
}

/// Lines of the current second, and those left out.
struct Second {
    began: Option<Instant>,
    lines: u64,
    left_out: u64,
}

/// So many lines in any one second; what goes beyond is counted and told with the next line.
struct Bound {
    most: u64,
    second: Mutex<Second>,
}

impl Bound {
    fn new(most: u64) -> Self {
        Bound { most, second: Mutex::new(Second { began: None, lines: 0, left_out: 0 }) }
    }

    /// Whether another line may be written at this moment.
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

/// Levels by part, then the bound.
struct Chosen {
    settings: Logging,
    bound: Arc<Bound>,
}

impl Chosen {
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

impl<S: Subscriber> Filter<S> for Chosen {
    fn enabled(&self, about: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        // What other crates have to say is of no interest here unless it is an error.
        let ours = tansyjunction_settings::PARTS.contains(&about.target());
        let level = if ours { self.level(about.target()) } else { LevelFilter::ERROR };
        *about.level() <= level
    }

    fn event_enabled(&self, _: &Event<'_>, _: &Context<'_, S>) -> bool {
        self.bound.allows(Instant::now())
    }
}

/// A line, and after it how many were left out before.
struct Line<F> {
    bound: Arc<Bound>,
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
            left_out => writeln!(writer, " ({left_out} lines left out)"),
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

/// The program's name, the message, then what else is told.
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
        let (bound, now) = (Bound::new(2), Instant::now());
        assert_eq!([0; 5].map(|_: i32| bound.allows(now)), [true, true, false, false, false]);
        let later = now + Duration::from_secs(1);
        assert!(bound.allows(later));
        assert_eq!([bound.take_left_out(), bound.take_left_out()], [3, 0]);
        let unbounded = Bound::new(0);
        assert!((0..100).all(|_| unbounded.allows(now)));
    }
}
