//! The plot of latency by quantile, in SVG.

use plotters::prelude::*;

use crate::report::{Report, RunReport};

const SIZE_PIXELS: (u32, u32) = (900, 560);
const LATENCY_MIN_MS: f64 = 1.0;
/// The upper end of the quantile axis, which is scaled by the number of nines (2 is 99%) to spread
/// out the tail.
const NINES_MAX: f64 = 4.0;

/// Draws one curve for each run and stream.
///
/// # Errors
/// The drawing library returns an error.
pub(crate) fn latency_svg(report: &Report) -> Result<String, String> {
    let mut svg = String::new();
    draw(report, &mut svg).map_err(|error| format!("cannot draw the plot: {error}"))?;
    Ok(svg)
}

fn draw(report: &Report, svg: &mut String) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::with_string(svg, SIZE_PIXELS).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(&report.experiment.name, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..NINES_MAX, (LATENCY_MIN_MS..max_latency_ms(report)).log_scale())?;
    chart
        .configure_mesh()
        .x_desc("quantile")
        .y_desc("latency, ms")
        .x_labels(5)
        .x_label_formatter(&|nines| format!("{:.4}", 1.0 - 10_f64.powf(-nines)))
        .draw()?;
    for (index, (label, points)) in curves(report).into_iter().enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
            .label(label)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}

fn curves(report: &Report) -> Vec<(String, Vec<(f64, f64)>)> {
    report.runs.iter().flat_map(curves_of_run).collect()
}

fn curves_of_run(run: &RunReport) -> impl Iterator<Item = (String, Vec<(f64, f64)>)> + '_ {
    run.streams.iter().map(|stream| {
        let label = format!("{}, {:?}, {}", run.case, run.policy, stream.class.name());
        let points = stream.curve.iter().map(|(quantile, ms)| (nines(*quantile), *ms)).collect();
        (label, points)
    })
}

fn nines(quantile: f64) -> f64 {
    -(1.0 - quantile).log10()
}

fn max_latency_ms(report: &Report) -> f64 {
    let streams = report.runs.iter().flat_map(|run| &run.streams);
    streams.map(|stream| stream.max_ms).fold(10.0 * LATENCY_MIN_MS, f64::max)
}
