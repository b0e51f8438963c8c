//! Report of a run as a page: faults, membership events and service on a common time axis.

use minijinja::{Environment, context};
use plotters::prelude::*;

use crate::plan::{FaultKind, Plan};
use crate::run::Outcome;

const PAGE: &str = r#"<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Run of seed {{ seed }}</title>
<style>body{font-family:sans-serif;margin:2em;max-width:70em}td,th{padding:.1em .8em;text-align:left}.no{color:#a00}</style>
</head><body>
<h1>{{ gateways }} gateways, seed {{ seed }}</h1>
{% if broken %}<ul class="no">{% for line in broken %}<li>{{ line }}</li>{% endfor %}</ul>{% else %}<p>No rule broken.</p>{% endif %}
<p>All knew each other after {{ joined }} ms at the start{% if healed is not none %}, and {{ healed }} ms after the last
fault{% endif %}. Commands: {{ answered }} answered, {{ throttled }} throttled, {{ failed }} failed, {{ cut_off }} cut off
with their gateway. Datagrams: {{ passed }} passed, {{ dropped }} dropped.</p>
{{ plot }}
<p>Bars: grey, a gateway killed or stopped; blue, standing still; orange, ways from or to it cut or bad. Marks: red, it tells
that another is down; green, that another lives; the line below is the part of commands answered.</p>
<h2>Faults</h2><table><tr><th>at ms</th><th>for ms</th><th>what</th></tr>
{% for fault in faults %}<tr><td>{{ fault[0] }}</td><td>{{ fault[1] }}</td><td>{{ fault[2] }}</td></tr>{% endfor %}</table>
<h2>Detection</h2><table><tr><th>killed</th><th>known everywhere after ms</th></tr>
{% for one in detected %}<tr><td>n{{ one[0] }}</td><td>{{ one[1] }}</td></tr>{% endfor %}</table>
<h2>The plan</h2><pre>{{ plan }}</pre>
</body></html>
"#;

/// Renders the HTML page with the embedded plot.
pub fn html(outcome: &Outcome) -> Result<String, String> {
    let plan = &outcome.plan;
    let mut env = Environment::new();
    env.add_template("page.html", PAGE).map_err(|error| error.to_string())?;
    let words = |what: &FaultKind| serde_json::to_string(what).unwrap_or_default();
    let faults: Vec<_> =
        plan.faults.iter().map(|fault| (fault.at_ms, fault.for_ms, words(&fault.what))).collect();
    let page = env.get_template("page.html").map_err(|error| error.to_string())?;
    let values = context! {
        seed => plan.seed, gateways => plan.gateways, broken => outcome.broken.clone(), joined => outcome.joined_ms,
        healed => outcome.healed_ms, answered => outcome.answered, throttled => outcome.throttled,
        failed => outcome.failed, cut_off => outcome.cut_off, passed => outcome.datagrams.0,
        dropped => outcome.datagrams.1, faults => faults,
        detected => outcome.detected_ms.iter().map(|(who, ms)| (*who, *ms)).collect::<Vec<_>>(),
        plot => minijinja::Value::from_safe_string(plot(outcome)?),
        plan => serde_json::to_string_pretty(plan).map_err(|error| error.to_string())?,
    };
    page.render(values).map_err(|error| error.to_string())
}

/// Plot with bars per gateway, marks for events, and service.
fn plot(outcome: &Outcome) -> Result<String, String> {
    let plan = &outcome.plan;
    let last = outcome.history.iter().map(|told| told.at_ms).max().unwrap_or(0).max(plan.ends() as i64) + 500;
    let mut out = String::new();
    let rows = plan.gateways as f64;
    draw(outcome, plan, &mut out, last as f64 / 1e3, rows).map_err(|error| error.to_string())?;
    Ok(out)
}

fn draw(
    outcome: &Outcome,
    plan: &Plan,
    out: &mut String,
    last: f64,
    rows: f64,
) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::with_string(out, (1_000, 120 + 24 * plan.gateways as u32)).into_drawing_area();
    let mut chart = ChartBuilder::on(&area)
        .margin(8)
        .x_label_area_size(28)
        .y_label_area_size(40)
        .build_cartesian_2d(0.0..last, -3.0..rows)?;
    let name = |y: &f64| if *y >= 0.0 && y.fract() == 0.0 { format!("n{y}") } else { String::new() };
    chart
        .configure_mesh()
        .disable_y_mesh()
        .y_labels(plan.gateways * 2)
        .y_label_formatter(&name)
        .x_desc("seconds")
        .draw()?;
    for fault in &plan.faults {
        let colour = match fault.what {
            FaultKind::Pause { .. } => RGBColor(80, 120, 220),
            FaultKind::Cut { .. } | FaultKind::Bad { .. } => RGBColor(240, 160, 60),
            _ => RGBColor(150, 150, 150),
        };
        let (from, to) = (fault.at_ms as f64 / 1e3, fault.ends() as f64 / 1e3);
        let bars = fault.affected(plan.gateways).into_iter().map(|who| {
            let y = who as f64;
            Rectangle::new([(from, y - 0.4), (to, y + 0.4)], colour.mix(0.6).filled())
        });
        chart.draw_series(bars)?;
    }
    for (what, colour) in
        [("up", RGBColor(20, 140, 20)), ("left", RGBColor(90, 90, 90)), ("down", RGBColor(200, 0, 0))]
    {
        let told = outcome.history.iter().filter(|told| told.what == what && told.at_ms >= 0);
        let marks =
            told.map(|told| Circle::new((told.at_ms as f64 / 1e3, told.by as f64), 3, colour.filled()));
        chart.draw_series(marks)?;
    }
    let parts = outcome
        .service
        .iter()
        .filter(|(_, asked, _)| *asked > 0)
        .map(|(second, asked, answered)| (*second as f64, -2.8 + 2.0 * *answered as f64 / *asked as f64));
    chart.draw_series(LineSeries::new(parts, &BLACK))?;
    area.present()?;
    Ok(())
}
