//! Renders a report as a table.

use comfy_table::presets::ASCII_MARKDOWN;
use comfy_table::{CellAlignment, Table};

use super::report::{LoadReport, LoadRow};

/// Renders one row for each service and organisation, totals, and a line for each problem.
pub fn render(report: &LoadReport) -> String {
    let mut table = Table::new();
    table.load_preset(ASCII_MARKDOWN);
    table.set_header([
        "service",
        "organisation",
        "sent",
        "answered",
        "refused, not run",
        "unknown",
        "p50 ms",
        "p99 ms",
    ]);
    for ((service, organisation), row) in &report.rows {
        table.add_row(cells(service, organisation, row));
    }
    for index in NUMERIC_COLUMNS {
        if let Some(column) = table.column_mut(index) {
            column.set_cell_alignment(CellAlignment::Right);
        }
    }
    let mut text = table.to_string();
    let rate_per_s = report.sent_count() as f64 / report.elapsed.as_secs_f64().max(f64::EPSILON);
    text.push_str(&format!(
        "\n{} requests in {:.1} s ({rate_per_s:.0} a second), {} answered\n",
        report.sent_count(),
        report.elapsed.as_secs_f64(),
        report.answered_count(),
    ));
    for problem in &report.problems {
        text.push_str(&format!("untrue: {problem}\n"));
    }
    text
}

/// Indexes of the columns with numbers, which are aligned to the right.
const NUMERIC_COLUMNS: std::ops::Range<usize> = 2..8;

/// Returns the cells of one row of the table.
fn cells(service: &str, organisation: &str, row: &LoadRow) -> Vec<String> {
    let ms = |quantile| {
        format!(
            "{:.1}",
            row.elapsed_us.value_at_quantile(quantile) as f64 / 1000.0
        )
    };
    vec![
        service.to_owned(),
        organisation.to_owned(),
        row.sent_count.to_string(),
        row.answered_count.to_string(),
        refused(row),
        row.unknown_count.to_string(),
        ms(0.5),
        ms(0.99),
    ]
}

/// Formats the refusals of a row by kind.
fn refused(row: &LoadRow) -> String {
    let kinds: Vec<String> = row
        .refused_counts
        .iter()
        .map(|(kind, count)| format!("{count} {kind}"))
        .collect();
    if kinds.is_empty() {
        return "0".to_owned();
    }
    kinds.join(", ")
}
