//! SVG chart of the timeline: one row per instance, one dot per event.

use std::collections::BTreeSet;
use std::path::Path;

use jackdawmux_entry::process::TimelineEvent;
use plotters::prelude::{
    ChartBuilder, Circle, Color, IntoDrawingArea, IntoFont, Palette, Palette99, SVGBackend, Text,
    WHITE,
};

/// Width of the chart, in pixels.
const WIDTH: u32 = 1_200;
/// Height of the caption, axis and legend, in pixels.
const FRAME_HEIGHT: u32 = 160;
/// Height of one instance's row, in pixels.
const ROW_HEIGHT: u32 = 48;

/// Writes an SVG chart of the events.
///
/// # Errors
/// When the chart cannot be drawn or the file cannot be written.
pub fn plot_timeline(
    file: &Path,
    events: &[TimelineEvent],
) -> Result<(), Box<dyn std::error::Error>> {
    let instances: Vec<&str> = events
        .iter()
        .map(|event| event.instance.as_str())
        .collect::<BTreeSet<_>>()
        .into_iter()
        .collect();
    let kinds: Vec<&str> = events
        .iter()
        .map(|event| event.kind.as_str())
        .collect::<BTreeSet<_>>()
        .into_iter()
        .collect();
    let rows = u32::try_from(instances.len().max(1))?;
    let first = events.iter().map(|event| event.stamp.wall_ms).min().unwrap_or(0);
    let last = events.iter().map(|event| event.stamp.wall_ms).max().unwrap_or(0);
    let seconds = (last - first) as f64 / 1_000.0;
    let height = FRAME_HEIGHT + ROW_HEIGHT * rows;
    let area = SVGBackend::new(file, (WIDTH, height)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption("jackdawmux: events of all instances", ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(110)
        .right_y_label_area_size(230)
        .build_cartesian_2d(
            -0.02 * seconds..seconds.max(0.001) * 1.02,
            -0.5..f64::from(rows) - 0.5,
        )?;
    chart
        .configure_mesh()
        .disable_y_mesh()
        .x_desc("seconds")
        .y_labels(instances.len() * 2 + 1)
        .y_label_formatter(&|y| row_label(*y, &instances))
        .draw()?;
    for event in events {
        let row = instances.iter().position(|name| *name == event.instance).unwrap_or(0);
        let kind = kinds.iter().position(|name| *name == event.kind).unwrap_or(0);
        // Each kind has its own offset within the row, so that simultaneous events do not overlap.
        let offset = (kind as f64 / kinds.len().max(1) as f64 - 0.5) * 0.7;
        let x = (event.stamp.wall_ms - first) as f64 / 1_000.0;
        let colour = Palette99::pick(kind);
        chart.draw_series([Circle::new((x, row as f64 + offset), 4, colour.filled())])?;
    }
    draw_legend(&area, &kinds)?;
    area.present()?;
    Ok(())
}

fn row_label(y: f64, instances: &[&str]) -> String {
    let is_row = (y - y.round()).abs() < 0.01 && y >= -0.01;
    let index = y.round().max(0.0) as usize;
    match instances.get(index) {
        Some(name) if is_row => (*name).to_owned(),
        Some(_) | None => String::new(),
    }
}

fn draw_legend(
    area: &plotters::prelude::DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    kinds: &[&str],
) -> Result<(), Box<dyn std::error::Error>> {
    let left = i32::try_from(WIDTH)? - 215;
    for (index, kind) in kinds.iter().enumerate() {
        let top = 50 + 16 * i32::try_from(index)?;
        area.draw(&Circle::new((left, top), 4, Palette99::pick(index).filled()))?;
        area.draw(&Text::new(
            (*kind).to_owned(),
            (left + 10, top - 6),
            ("sans-serif", 12).into_font(),
        ))?;
    }
    Ok(())
}
