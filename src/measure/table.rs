//! Renders the rows as a table.

use comfy_table::presets::ASCII_MARKDOWN;
use comfy_table::{CellAlignment, Table};

use super::report::Row;

/// Renders one line for each row, below the headings.
pub fn render(rows: &[Row]) -> String {
    let mut table = Table::new();
    table.load_preset(ASCII_MARKDOWN);
    table.set_header([
        "measure",
        "deployment",
        "case",
        "policy",
        "figure",
        "min",
        "median",
        "worst",
        "target",
        "met",
        "note",
    ]);
    for row in rows {
        table.add_row([
            row.measure.to_owned(),
            row.deployment.to_owned(),
            row.case.clone(),
            row.policy.to_owned(),
            row.figure.to_owned(),
            format_figure(row.min),
            format_figure(row.median),
            format_figure(row.worst),
            row.target.to_owned(),
            format!("{}/{}", row.met_count, row.seed_count),
            row.note.clone(),
        ]);
    }
    for index in NUMERIC_COLUMNS {
        if let Some(column) = table.column_mut(index) {
            column.set_cell_alignment(CellAlignment::Right);
        }
    }
    format!("{table}\n")
}

/// Indexes of the columns with numbers, which are aligned to the right.
const NUMERIC_COLUMNS: std::ops::Range<usize> = 5..8;

/// Formats a figure; a missing one means that the server was never ejected.
fn format_figure(figure: Option<f64>) -> String {
    match figure {
        None => "never".to_owned(),
        Some(figure) if figure >= 100.0 || figure.fract() == 0.0 => format!("{figure:.0}"),
        Some(figure) => format!("{figure:.2}"),
    }
}
