//! Formats a reply as text tables.

use std::fmt::Write;

use crate::operator::{
    log::{Reply, Status},
    query::{Row, text},
};

/// Columns that come first, in this order; the others follow by name.
const LEADING_COLUMNS: [&str; 8] = [
    "id",
    "name",
    "key",
    "target",
    "tier",
    "organisation",
    "pool",
    "endpoint",
];

/// Formats a reply for a terminal.
pub fn render(reply: &Reply) -> String {
    let mut out = String::new();
    if !reply.message.is_empty() {
        let _ = writeln!(out, "{}", with_status(reply));
    }
    // Each run of rows with the same columns becomes a table.
    let mut rest = reply.rows.as_slice();
    while let Some(first) = rest.first() {
        let columns = columns(first);
        let run_length = rest
            .iter()
            .take_while(|r| self::columns(r) == columns)
            .count();
        let (table, remaining) = rest.split_at(run_length);
        render_table(&mut out, &columns, table);
        rest = remaining;
    }
    if reply.rows.is_empty() && reply.message.is_empty() {
        out.push_str("nothing\n");
    }
    if reply.left_out > 0 {
        let _ = writeln!(out, "({} more rows are not shown)", reply.left_out);
    }
    if !reply.missing.is_empty() {
        let missing = reply.missing.join(", ");
        let _ = writeln!(out, "PARTIAL: no answer from {missing}");
    }
    out
}

fn with_status(reply: &Reply) -> String {
    let label = match reply.status {
        Status::Done => return reply.message.clone(),
        Status::Refused => "refused",
        Status::BadInput => "bad input",
        Status::Unknown => "unknown",
    };
    format!("{label}: {}", reply.message)
}

fn columns(row: &Row) -> Vec<&str> {
    let first = LEADING_COLUMNS
        .iter()
        .copied()
        .filter(|c| row.contains_key(*c));
    let rest = row
        .keys()
        .map(String::as_str)
        .filter(|c| !LEADING_COLUMNS.contains(c));
    first.chain(rest).collect()
}

fn render_table(out: &mut String, columns: &[&str], rows: &[Row]) {
    let cells: Vec<Vec<String>> = rows
        .iter()
        .map(|row| columns.iter().map(|c| text(row.get(*c))).collect())
        .collect();
    let widths: Vec<usize> = columns
        .iter()
        .enumerate()
        .map(|(index, name)| {
            let longest = cells.iter().map(|row| row[index].chars().count()).max();
            longest.unwrap_or(0).max(name.len())
        })
        .collect();
    let headers: Vec<String> = columns.iter().map(|c| (*c).to_owned()).collect();
    for row in std::iter::once(&headers).chain(&cells) {
        let mut line = String::new();
        for (cell, width) in row.iter().zip(&widths) {
            let _ = write!(line, "{cell:<width$}  ");
        }
        out.push_str(line.trim_end());
        out.push('\n');
    }
}
