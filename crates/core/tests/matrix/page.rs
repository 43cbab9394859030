//! Checks that `docs/PROOF.md` and the existing cases agree.

use std::{collections::BTreeSet, fs, path::Path};

use crate::{FAULTS, STEPS};

/// The page. It is included at compile time so that a change of it rebuilds the test.
const PAGE: &str = include_str!("../../../../docs/PROOF.md");

/// The prefixes of a cell that has a reason instead of a case.
const REASON_PREFIXES: [&str; 2] = ["cannot happen: ", "not proved: "];

/// Returns the names of all cases: those of the matrix and of every `cases!` in the
/// project.
fn cases() -> BTreeSet<String> {
    let mut names = BTreeSet::new();
    for (process, steps) in STEPS {
        for step in *steps {
            names.extend(FAULTS.iter().map(|fault| format!("{process}::{step}::{fault}")));
        }
    }
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    for folder in ["tests", "platform/tests", "crates/core/tests", "crates/http/tests"] {
        names.extend(cases_below(&root.join(folder)));
    }
    names
}

/// Returns the names of the cases of every `cases!` in the files below a folder.
fn cases_below(folder: &Path) -> BTreeSet<String> {
    let mut names = BTreeSet::new();
    for path in fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path()) {
        if path.is_dir() {
            names.extend(cases_below(&path));
            continue;
        }
        let Ok(text) = fs::read_to_string(path) else { continue };
        let Some((_, list)) = text.split_once("cases! {") else { continue };
        let lines = list.lines().filter_map(|line| line.trim().split_once(" =>"));
        names.extend(lines.map(|(name, _)| name.to_owned()));
    }
    names
}

/// Returns the cells of each row of the tables under a heading.
fn rows(heading: &str) -> Vec<Vec<String>> {
    let (_, rest) = PAGE.split_once(&format!("\n## {heading}\n")).expect(heading);
    let part = rest.split("\n## ").next().unwrap();
    let lines = part.lines().filter(|line| line.starts_with('|') && !line.starts_with("|-"));
    lines
        .map(|line| line.trim_matches('|').split('|').map(|cell| cell.trim().to_owned()).collect())
        .collect()
}

#[test]
fn every_cell_of_the_matrix_names_its_case_or_a_reason() {
    let names = cases();
    let rows = rows("The fault matrix");
    for (process, steps) in STEPS {
        for (number, fault) in FAULTS.iter().enumerate() {
            let title = fault.replace('_', " ");
            let found = rows.iter().filter(|row| row[0] == format!("{process}: {title}"));
            let found: Vec<&Vec<String>> = found.collect();
            assert_eq!(found.len(), 1, "rows of {process} and {title}, which is row {number}");
            assert_eq!(found[0].len(), steps.len() + 1, "cells of {process}: {title}");
            for (step, cell) in steps.iter().zip(&found[0][1..]) {
                let name = cell.trim_matches('`');
                let own = format!("{process}::{step}::{fault}");
                let has_reason = REASON_PREFIXES
                    .iter()
                    .any(|reason| cell.strip_prefix(reason).is_some_and(|rest| !rest.is_empty()));
                let is_case = names.contains(name) && (name == own || !name.contains("::"));
                assert!(is_case || has_reason, "{own} says {cell:?}");
            }
        }
    }
}

#[test]
fn every_case_that_the_page_names_exists() {
    let names = cases();
    let quoted = PAGE.split('`').skip(1).step_by(2);
    let is_name = |text: &&str| text.contains("::") || text.matches('_').count() >= 3;
    let named: Vec<&str> = quoted.filter(is_name).filter(|text| !text.contains('/')).collect();
    assert!(named.len() > 400, "the page names only {} cases", named.len());
    for name in named.into_iter().filter(|name| !name.starts_with("LABURNUM")) {
        assert!(names.contains(name), "no case is named {name}");
    }
}

#[test]
fn every_promise_and_every_planted_fault_is_listed() {
    assert_eq!(rows("The promises").len(), 1 + 10);
    for row in rows("Planted faults").iter().skip(1) {
        assert!(row.len() == 4 && row.iter().all(|cell| !cell.is_empty()), "{row:?}");
    }
    assert!(rows("Planted faults").len() > 8);
}
