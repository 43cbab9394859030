//! Lines and tables on the standard output.

use std::{
    fmt,
    io::{Write, stdout},
    time::Duration,
};

/// Writes a line to the standard output. It ignores errors, so that a reader
/// that closes the pipe early, such as `head`, causes no failure.
pub fn line(text: &str) {
    let mut out = stdout().lock();
    let _ = writeln!(out, "{text}");
    let _ = out.flush();
}

/// Formats a time `millis` milliseconds in the past, such as `5 s ago`.
pub fn ago(millis: u64) -> String {
    let seconds = Duration::from_millis(millis).as_secs();
    match seconds {
        0 => format!("{millis} ms ago"),
        1..60 => format!("{seconds} s ago"),
        60..3600 => format!("{} min {} s ago", seconds / 60, seconds % 60),
        _ => format!("{} h {} min ago", seconds / 3600, seconds % 3600 / 60),
    }
}

/// A table with aligned columns.
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Makes a table with a heading for each column.
    pub fn new(columns: &[&str]) -> Table {
        let headings = columns.iter().map(|&column| column.to_owned()).collect();
        Table { rows: vec![headings] }
    }

    /// Adds a row.
    pub fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    fn width(&self, column: usize) -> usize {
        let cells = self.rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or_default()
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for row in &self.rows {
            let mut text = String::new();
            for (column, cell) in row.iter().enumerate() {
                let width = self.width(column);
                text.push_str(&format!("{cell:width$}  "));
            }
            writeln!(f, "{}", text.trim_end())?;
        }
        Ok(())
    }
}
