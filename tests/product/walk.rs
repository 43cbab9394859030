//! The commands of the pages, run as a newcomer would run them.

use std::{
    fs,
    path::Path,
    process::{Command, Stdio},
};

use crate::bed;

/// The text between two parts that vary, in a line that the page shows.
const GAP: &str = "...";

/// One command of a page with the lines that it must print.
#[derive(Debug)]
struct Step {
    command: String,
    shown: Vec<String>,
}

fn page(name: &str) -> String {
    fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join(name)).unwrap()
}

/// The commands of the blocks of a page that are marked `console`.
fn steps(text: &str) -> Vec<Step> {
    let mut steps: Vec<Step> = Vec::new();
    let mut is_inside = false;
    for line in text.lines() {
        match (is_inside, line) {
            (false, "```console") => is_inside = true,
            (true, "```") => is_inside = false,
            (true, line) => match line.strip_prefix("$ ") {
                Some(command) => {
                    steps.push(Step { command: command.to_owned(), shown: Vec::new() });
                }
                None => steps.last_mut().unwrap().shown.push(line.to_owned()),
            },
            (false, _) => {}
        }
    }
    steps
}

/// A script that runs the commands in turn and marks where each begins.
fn script(steps: &[Step]) -> String {
    let mut text = "trap 'kill $(jobs -p)' EXIT\n".to_owned();
    for (number, step) in steps.iter().enumerate() {
        text.push_str(&format!("echo '@@ {number}'\n{}\necho \"@@ exit $?\"\n", step.command));
    }
    text
}

/// What each command printed, with its exit code as the last line.
fn outputs(text: &str) -> Vec<Vec<String>> {
    let mut outputs: Vec<Vec<String>> = Vec::new();
    for line in text.lines() {
        // A command may end its output without the end of a line.
        let (line, mark) = line.split_once("@@ ").unwrap_or((line, ""));
        if let (Some(output), false) = (outputs.last_mut(), line.is_empty()) {
            output.push(line.to_owned());
        }
        match mark.strip_prefix("exit ") {
            Some(code) => outputs.last_mut().unwrap().push(code.to_owned()),
            None if mark.is_empty() => {}
            None => outputs.push(Vec::new()),
        }
    }
    outputs
}

/// Whether a printed line is as the page shows it.
fn is_shown(printed: &str, shown: &str) -> bool {
    if !shown.contains(GAP) {
        return printed.trim_end() == shown;
    }
    let mut rest = printed;
    for part in shown.split(GAP).map(str::trim) {
        match rest.split_once(part) {
            Some((_, after)) => rest = after,
            None => return false,
        }
    }
    true
}

/// Holds the output of a command against its step.
fn hold(step: &Step, output: &[String]) {
    let context = format!("{}\n{}", step.command, output.join("\n"));
    let (code, lines) = output.split_last().unwrap_or_else(|| panic!("{context}"));
    let fails = step.shown.iter().any(|line| line.starts_with("error: "));
    assert_eq!(code != "0", fails, "the exit code of {context}");
    let mut lines = lines.iter();
    for shown in &step.shown {
        let found = lines.any(|line| is_shown(line, shown));
        assert!(found, "{shown:?} is not printed in its place by {context}");
    }
}

/// Copies the files of a trial with another loopback address, so that trials
/// that run at the same time do not meet.
fn copy(to: &Path, address: &str) {
    let from = Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy/local");
    for entry in fs::read_dir(from).unwrap() {
        let entry = entry.unwrap();
        let text = fs::read_to_string(entry.path()).unwrap();
        fs::write(to.join(entry.file_name()), text.replace("127.0.0.1", address)).unwrap();
    }
}

fn walk(steps: &[Step], address: &str) {
    let folder = tempfile::tempdir().unwrap();
    copy(folder.path(), address);
    let script = script(steps).replace("127.0.0.1", address);
    let file = folder.path().join("walk.sh");
    fs::write(&file, format!("exec 2>&1\n{script}")).unwrap();
    let binary = Path::new(env!("CARGO_BIN_EXE_laburnumworks")).parent().unwrap();
    let path = format!("{}:{}", binary.display(), std::env::var("PATH").unwrap());
    let output = Command::new("bash")
        .arg(&file)
        .current_dir(folder.path())
        .env("PATH", path)
        .stdin(Stdio::null())
        .output()
        .unwrap();
    let outputs = outputs(&bed::stdout(&output));
    assert_eq!(outputs.len(), steps.len(), "{}", bed::stdout(&output));
    for (step, output) in steps.iter().zip(&outputs) {
        hold(step, output);
    }
}

/// An address of the loopback network that no other trial has.
fn address() -> String {
    let [a, b, c]: [u8; 3] = rand::random();
    format!("127.{}.{b}.{}", a.max(1), c.clamp(1, 254))
}

cases! {
    the_operating_page_does_what_it_says => {
        let steps = steps(&page("docs/OPERATING.md"));
        assert!(steps.len() > 40, "{}", steps.len());
        walk(&steps, &address());
    };
    the_first_command_of_the_readme_runs => {
        let page = page("README.md");
        let command = page.lines().find_map(|line| line.strip_prefix("    cargo run --release -- "));
        let output = bed::run(&command.unwrap().split(' ').collect::<Vec<_>>());
        bed::assert_exit(&output, laburnumworks::cli::exit::Exit::Done);
        assert!(bed::stdout(&output).contains("findings held"), "{}", bed::stdout(&output));
    };
    the_second_command_of_the_readme_is_what_ci_runs => {
        let command = "cargo test --workspace";
        assert!(page("README.md").lines().any(|line| line.trim() == command));
        assert!(page(".ci/run").lines().any(|line| line.starts_with(command)));
    };
    a_shown_line_may_leave_parts_out => {
        assert!(is_shown("vm-2  live  3 s ago", "vm-2  live ... ago"));
        assert!(!is_shown("vm-2  gone  3 s ago", "vm-2  live ... ago"));
        assert!(!is_shown("vm-2  live", "vm-2"));
    };
}
