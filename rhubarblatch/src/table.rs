//! Aligned columns of text.

/// A table whose first row holds the titles.
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// A table with these titles.
    pub(crate) fn new(titles: &[&str]) -> Table {
        Table { rows: vec![titles.iter().map(|title| title.to_uppercase()).collect()] }
    }

    /// Adds a row.
    pub(crate) fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// The rows as text, or none if there are only titles.
    pub(crate) fn lines(&self) -> Vec<String> {
        if self.rows.len() < 2 {
            return Vec::new();
        }
        let widths = self.widths();
        self.rows.iter().map(|row| line(row, &widths)).collect()
    }

    fn widths(&self) -> Vec<usize> {
        let columns = self.rows[0].len();
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        (0..columns).map(width).collect()
    }
}

fn line(row: &[String], widths: &[usize]) -> String {
    let cells = row.iter().zip(widths);
    let padded: Vec<String> = cells.map(|(cell, width)| format!("{cell:<width$}")).collect();
    padded.join("  ").trim_end().to_owned()
}
