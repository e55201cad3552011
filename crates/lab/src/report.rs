//! Reports: one self-contained HTML page per run, with tables and SVG charts.

use crate::scenario::Scenario;
use crate::score::{Figures, Second};
use crate::world::{Rule, RunResult};
use comfy_table::Table;
use cottonpoint_decide::Outcome;
use plotters::prelude::*;
use std::fmt::Write;

/// A table whose text form is Markdown.
pub fn markdown<R: IntoIterator<Item = String>>(
    header: impl IntoIterator<Item = &'static str>,
    rows: impl IntoIterator<Item = R>,
) -> Table {
    let mut table = Table::new();
    table.load_style(comfy_table::presets::ASCII_MARKDOWN);
    table.set_header(header);
    for row in rows {
        table.add_row(row);
    }
    table
}

/// The figures of a run as rows of a name and a value.
pub fn figure_rows(f: &Figures) -> Vec<[String; 2]> {
    let row = |name: &str, value: String| [name.to_owned(), value];
    vec![
        row("score", format!("{:.3}", f.score)),
        row("service, whole run", format!("{:.3}", f.whole)),
        row("worst ten seconds", format!("{:.3}", f.worst_window)),
        row("worst class", format!("{:.3}", f.worst_class)),
        row("worst tenant within its quota", format!("{:.3}", f.worst_tenant)),
        row("clients", f.clients.to_string()),
        row(
            "served in time, refused, failed",
            format!("{:.1}%, {:.1}%, {:.1}%", f.served * 100.0, f.refused * 100.0, f.failed * 100.0),
        ),
        row("attempts for each client", format!("{:.2}", f.attempts)),
        row("wasted work", format!("{:.1}%", f.waste * 100.0)),
        row("failed late", format!("{:.1}%", f.late * 100.0)),
        row("new connections for each client", format!("{:.3}", f.connections)),
        row("endpoints slowed by crowding", format!("{:.1}%", f.crowded * 100.0)),
        row("overloaded cold endpoints", f.fallen.to_string()),
        row("time of those served, p50 and p99", format!("{:.0} ms, {:.0} ms", f.p50_ms, f.p99_ms)),
    ]
}

/// A series of a chart: its name and its points.
pub type Line = (String, Vec<(f64, f64)>);

/// Draws series over a common x axis as an SVG image.
pub fn lines(title: &str, x: &str, series: &[Line]) -> String {
    let points = || series.iter().flat_map(|s| &s.1);
    let (mut x_to, mut y_to) = (1e-9, 1e-9);
    for (x, y) in points() {
        x_to = f64::max(x_to, *x);
        y_to = f64::max(y_to, *y);
    }
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (720, 260)).into_drawing_area();
        let drawn = || -> Result<(), Box<dyn std::error::Error + '_>> {
            area.fill(&WHITE)?;
            let mut chart = ChartBuilder::on(&area)
                .caption(title, ("sans-serif", 16))
                .margin(8)
                .x_label_area_size(32)
                .y_label_area_size(48)
                .build_cartesian_2d(0.0..x_to, 0.0..y_to * 1.05)?;
            chart.configure_mesh().x_desc(x).light_line_style(WHITE).draw()?;
            for (i, (name, points)) in series.iter().enumerate() {
                let color = Palette99::pick(i).to_rgba();
                chart
                    .draw_series(LineSeries::new(points.iter().copied(), color.stroke_width(2)))?
                    .label(name.as_str())
                    .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], color));
            }
            if series.len() > 1 {
                let frame = BLACK.mix(0.3);
                chart
                    .configure_series_labels()
                    .background_style(WHITE.mix(0.8))
                    .border_style(frame)
                    .draw()?;
            }
            area.present()?;
            Ok(())
        };
        if let Err(e) = drawn() {
            return format!("<p>no chart: {e}</p>");
        }
    }
    svg
}

fn over_time(seconds: &[Second], of: impl Fn(&Second) -> f64) -> Vec<(f64, f64)> {
    seconds.iter().enumerate().map(|(i, s)| (i as f64, of(s))).collect()
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

fn html_table<R: AsRef<[String]>>(header: &[&str], rows: impl IntoIterator<Item = R>) -> String {
    let mut out = String::from("<table><tr>");
    for cell in header {
        let _ = write!(out, "<th>{}</th>", escaped(cell));
    }
    out += "</tr>";
    for row in rows {
        out += "<tr>";
        for cell in row.as_ref() {
            let _ = write!(out, "<td>{}</td>", escaped(cell));
        }
        out += "</tr>";
    }
    out + "</table>"
}

/// The report of a run as one HTML page.
pub fn page(scenario: &Scenario, seed: u64, policy: &str, result: &RunResult) -> String {
    let statistics = &result.statistics;
    let seconds = &statistics.seconds;
    let share = |part: f64, all: f64| if all > 0.0 { part / all } else { 1.0 };
    let mut body = format!(
        "<h1>{}, seed {seed}, {}</h1><p>{}</p>",
        escaped(&scenario.name),
        escaped(policy),
        escaped(&scenario.about)
    );
    body += &html_table(&["figure", "value"], figure_rows(&statistics.figures()));
    body += &lines(
        "service by second of arrival",
        "s",
        &[
            ("service".into(), over_time(seconds, |s| share(s.got, s.asked))),
            (
                "refused".into(),
                over_time(seconds, |s| share(f64::from(s.refused), f64::from(s.arrived.max(1)))),
            ),
            (
                "failed".into(),
                over_time(seconds, |s| share(f64::from(s.failed), f64::from(s.arrived.max(1)))),
            ),
        ],
    );
    body += &lines(
        "time of those served, ms",
        "s",
        &[
            ("p50".into(), over_time(seconds, |s| s.p50_ms)),
            ("p99".into(), over_time(seconds, |s| s.p99_ms)),
        ],
    );
    body += &lines(
        "clients and attempts a second",
        "s",
        &[
            ("clients".into(), over_time(seconds, |s| f64::from(s.arrived))),
            ("attempts, all tiers".into(), over_time(seconds, |s| f64::from(s.attempts))),
        ],
    );
    let limits: Vec<(f64, f64)> =
        seconds.iter().enumerate().filter_map(|(i, s)| Some((i as f64, s.limit?))).collect();
    if !limits.is_empty() {
        body += &lines("limits of the first tier's sidecars, summed", "s", &[("limit".into(), limits)]);
    }
    body += &lines(
        "share of endpoints slowed by crowding",
        "s",
        &[("crowded".into(), over_time(seconds, |s| s.crowded))],
    );
    for (t, tier) in scenario.tiers.iter().enumerate() {
        let mut rows: Vec<_> = statistics.servers.iter().filter(|s| s.tier == t).collect();
        rows.sort_by(|a, b| a.capacity.total_cmp(&b.capacity));
        let run_seconds = scenario.length.seconds();
        let at = |of: &dyn Fn(&crate::score::ServerRow) -> f64| -> Vec<(f64, f64)> {
            rows.iter().enumerate().map(|(i, s)| (i as f64, of(s))).collect()
        };
        body += &lines(
            &format!("{}: load of each endpoint against its capacity", tier.name),
            "endpoints by capacity",
            &[
                ("capacity".into(), at(&|s| s.capacity)),
                ("mean load".into(), at(&|s| s.worked / run_seconds)),
            ],
        );
    }
    let worth = |names: Vec<String>, worth: &[crate::score::Worth]| {
        let rows: Vec<[String; 3]> = names
            .into_iter()
            .zip(worth)
            .map(|(name, w)| [name, format!("{:.0}", w.asked), format!("{:.3}", w.service())])
            .collect();
        rows
    };
    let classes = scenario.classes.iter().map(|c| c.name.clone()).collect();
    body += &html_table(&["class", "worth asked", "service"], worth(classes, &statistics.by_class));
    let tenants: Vec<String> = scenario.tenants.iter().map(|t| t.name.clone()).collect();
    if !tenants.is_empty() {
        let header = ["tenant within its quota", "worth asked", "service"];
        body += &html_table(&header, worth(tenants, &statistics.by_tenant));
    }
    let mut header = vec!["outcomes of attempts"];
    header.extend(scenario.tiers.iter().map(|t| t.name.as_str()));
    let rows = Outcome::ALL.iter().enumerate().map(|(i, o)| {
        let mut row = vec![format!("{o:?}")];
        row.extend(statistics.outcomes.iter().map(|tier| tier[i].to_string()));
        row
    });
    body += &html_table(&header, rows);
    let events =
        statistics.events.iter().map(|(at, what)| [format!("{:.1} s", *at as f64 / 1e9), what.clone()]);
    body += &html_table(&["when", "what happened"], events);
    let rules = Rule::ALL.iter().zip(&result.breach_count).map(|(r, n)| [format!("{r:?}"), n.to_string()]);
    body += &html_table(&["rule", "breaches"], rules);
    for breach in &result.breaches {
        let _ = write!(body, "<p>{}</p>", escaped(&breach.to_string()));
    }
    format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{}</title><style>body{{font:15px sans-serif;\
         max-width:60em;margin:2em auto}}table{{border-collapse:collapse;margin:1em 0}}td,th{{border:1px solid #ccc;\
         padding:.2em .6em;text-align:left}}svg{{display:block;margin:1em 0}}</style>{body}</html>\n",
        escaped(&scenario.name)
    )
}
