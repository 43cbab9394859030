//! Docs pages that list events, errors or exit codes must agree with the code, and
//! their links must lead to files.

use std::{collections::BTreeSet, fs, path::Path};

use laburnum_core::{
    fault::{Kind, Retry},
    log::{Event, Level},
};
use laburnumworks::cli::exit::Exit;

/// The rows of the first table under `heading`, or of the first in the page.
pub fn table(page: &str, heading: &str) -> Vec<Vec<String>> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs").join(page);
    let text = fs::read_to_string(path).unwrap();
    let lines = text.lines().skip_while(|line| !line.starts_with(heading));
    let rows = lines.skip_while(|line| !line.starts_with('|'));
    rows.take_while(|line| line.starts_with('|')).skip(2).map(cells).collect()
}

fn cells(line: &str) -> Vec<String> {
    let line = line.trim().trim_start_matches('|').trim_end_matches('|').replace("\\|", "\u{0}");
    line.split('|').map(|cell| cell.trim().replace('\u{0}', "|")).collect()
}

/// Asserts that the first columns of a table hold exactly the rows that the code
/// lists.
fn assert_listed(rows: &[Vec<String>], listed: &[Vec<String>]) {
    let width = listed[0].len();
    let in_page: Vec<Vec<String>> = rows.iter().map(|row| row[..width].to_vec()).collect();
    let page: BTreeSet<_> = in_page.iter().collect();
    let code: BTreeSet<_> = listed.iter().collect();
    assert_eq!(
        code.difference(&page).collect::<Vec<_>>(),
        Vec::<&&Vec<String>>::new(),
        "not in the page"
    );
    assert_eq!(
        page.difference(&code).collect::<Vec<_>>(),
        Vec::<&&Vec<String>>::new(),
        "not in the code"
    );
    assert_eq!(in_page.len(), page.len(), "a row is listed twice");
}

fn assert_no_empty_cell(rows: &[Vec<String>], width: usize) {
    for row in rows {
        assert_eq!(row.len(), width, "{row:?}");
        assert!(row.iter().all(|cell| !cell.is_empty()), "{row:?}");
    }
}

fn level(event: Event) -> &'static str {
    match event.level() {
        Level::Error => "error",
        Level::Warning => "warning",
        Level::Info => "info",
        Level::Debug => "debug",
    }
}

fn event(event: &Event) -> Vec<String> {
    vec![event.number().to_string(), level(*event).to_owned(), event.text().to_owned()]
}

/// The row of a kind without `ran`, which the code sets for each refusal and not
/// for each kind.
fn kind(kind: &Kind) -> Vec<String> {
    let answer = kind.answer();
    let retry = match answer.retry {
        Retry::Never => "never".to_owned(),
        Retry::After(pause) => format!("after {} ms", pause.as_millis()),
    };
    vec![format!("`{kind}`"), answer.status.to_string(), retry]
}

/// The columns of the errors page that the code determines for each kind.
fn without_ran(row: &[String]) -> Vec<String> {
    vec![row[0].clone(), row[1].clone(), row[3].clone()]
}

/// The pages that users and operators read.
const PAGES: &[&str] =
    &["README.md", "docs/OPERATING.md", "docs/EVENTS.md", "docs/ERRORS.md", "docs/GLOSSARY.md"];

/// The files that a page links to, without web addresses and links within the
/// page.
fn links(text: &str) -> Vec<&str> {
    let targets = text.split("](").skip(1).filter_map(|rest| rest.split(')').next());
    let files = targets.filter(|target| !target.contains("://") && !target.starts_with('#'));
    files.filter_map(|target| target.split('#').next()).collect()
}

cases! {
    every_link_of_a_page_leads_to_a_file => {
        for page in PAGES {
            let page = Path::new(env!("CARGO_MANIFEST_DIR")).join(page);
            let text = fs::read_to_string(&page).unwrap();
            for link in links(&text) {
                let target = page.parent().unwrap().join(link);
                assert!(target.exists(), "{} links to {link}", page.display());
            }
        }
    };
    the_events_page_lists_the_events => {
        let rows = table("EVENTS.md", "#");
        assert_no_empty_cell(&rows, 5);
        assert_listed(&rows, &Event::ALL.iter().map(event).collect::<Vec<_>>());
    };
    event_numbers_are_given_once => {
        let numbers: BTreeSet<u16> = Event::ALL.iter().map(|event| event.number()).collect();
        assert_eq!(numbers.len(), Event::ALL.len());
    };
    the_errors_page_lists_the_kinds => {
        let rows = table("ERRORS.md", "#");
        assert_no_empty_cell(&rows, 6);
        let rows: Vec<Vec<String>> = rows.iter().map(|row| without_ran(row)).collect();
        assert_listed(&rows, &Kind::ALL.iter().map(kind).collect::<Vec<_>>());
    };
    the_errors_page_knows_the_values_of_ran => {
        for row in table("ERRORS.md", "#") {
            let known = row[2].split(", ").all(|ran| ["no", "yes", "unknown"].contains(&ran));
            assert!(known, "{row:?}");
        }
    };
    the_operating_page_lists_the_exit_codes => {
        let rows = table("OPERATING.md", "## Exit codes");
        let exit = |exit: &Exit| vec![exit.code().to_string(), exit.meaning().to_owned()];
        assert_listed(&rows, &Exit::ALL.iter().map(exit).collect::<Vec<_>>());
    };
}
