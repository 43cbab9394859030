//! Runs the commands of the docs pages in a shell, as a reader would, and checks
//! what they print.

use std::{
    fs,
    path::Path,
    process::{Command, Stdio},
};

use crate::harness;

/// Stands for any text in a line that the page shows.
const ELLIPSIS: &str = "...";

/// A command of a page and the lines that it must print.
#[derive(Debug)]
struct Step {
    command: String,
    shown: Vec<String>,
}

fn page(name: &str) -> String {
    fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join(name)).unwrap()
}

/// The commands in the `console` code blocks of a page.
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

/// A script that runs the commands in turn and prints a mark before each and its
/// exit code after it.
fn script(steps: &[Step]) -> String {
    let mut text = "trap 'kill $(jobs -p)' EXIT\n".to_owned();
    for (number, step) in steps.iter().enumerate() {
        text.push_str(&format!("echo '@@ {number}'\n{}\necho \"@@ exit $?\"\n", step.command));
    }
    text
}

/// The lines that each command printed, with its exit code as the last line.
fn outputs(text: &str) -> Vec<Vec<String>> {
    let mut outputs: Vec<Vec<String>> = Vec::new();
    for line in text.lines() {
        // The output of a command may end without a newline.
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

/// Whether a printed line is the line that the page shows.
fn matches_shown(printed: &str, shown: &str) -> bool {
    if !shown.contains(ELLIPSIS) {
        return printed.trim_end() == shown;
    }
    let mut rest = printed;
    for part in shown.split(ELLIPSIS).map(str::trim) {
        match rest.split_once(part) {
            Some((_, after)) => rest = after,
            None => return false,
        }
    }
    true
}

/// Asserts that a command printed the shown lines in their order and failed only
/// if an error is shown.
fn assert_output(step: &Step, output: &[String]) {
    let context = format!("{}\n{}", step.command, output.join("\n"));
    let (code, lines) = output.split_last().unwrap_or_else(|| panic!("{context}"));
    let fails = step.shown.iter().any(|line| line.starts_with("error: "));
    assert_eq!(code != "0", fails, "the exit code of {context}");
    let mut lines = lines.iter();
    for shown in &step.shown {
        let found = lines.any(|line| matches_shown(line, shown));
        assert!(found, "{shown:?} is not printed in its place by {context}");
    }
}

/// Copies the files of the local deployment with another loopback address, so that
/// deployments that run at the same time do not use the same ports.
fn copy_local_deployment(to: &Path, address: &str) {
    let from = Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy/local");
    for entry in fs::read_dir(from).unwrap() {
        let entry = entry.unwrap();
        let text = fs::read_to_string(entry.path()).unwrap();
        fs::write(to.join(entry.file_name()), text.replace("127.0.0.1", address)).unwrap();
    }
}

/// Runs the steps on a copy of the local deployment at `address` and checks what
/// they print.
fn run_steps(steps: &[Step], address: &str) {
    let folder = tempfile::tempdir().unwrap();
    copy_local_deployment(folder.path(), address);
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
    let outputs = outputs(&harness::stdout(&output));
    assert_eq!(outputs.len(), steps.len(), "{}", harness::stdout(&output));
    for (step, output) in steps.iter().zip(&outputs) {
        assert_output(step, output);
    }
}

/// A random address of the loopback network, which no other run is likely to have.
fn address() -> String {
    let [a, b, c]: [u8; 3] = rand::random();
    format!("127.{}.{b}.{}", a.max(1), c.clamp(1, 254))
}

cases! {
    the_steps_of_the_operating_page_run => {
        let steps = steps(&page("docs/OPERATING.md"));
        assert!(steps.len() > 40, "{}", steps.len());
        run_steps(&steps, &address());
    };
    the_first_command_of_the_readme_runs => {
        let page = page("README.md");
        let command = page.lines().find_map(|line| line.strip_prefix("    cargo run --release -- "));
        let output = harness::run_cli(&command.unwrap().split(' ').collect::<Vec<_>>());
        harness::assert_exit(&output, laburnumworks::cli::exit::Exit::Done);
        assert!(harness::stdout(&output).contains("findings held"), "{}", harness::stdout(&output));
    };
    the_second_command_of_the_readme_is_what_ci_runs => {
        let command = "cargo test --workspace";
        assert!(page("README.md").lines().any(|line| line.trim() == command));
        assert!(page(".ci/run").lines().any(|line| line.starts_with(command)));
    };
    a_shown_line_may_leave_parts_out => {
        assert!(matches_shown("vm-2  live  3 s ago", "vm-2  live ... ago"));
        assert!(!matches_shown("vm-2  gone  3 s ago", "vm-2  live ... ago"));
        assert!(!matches_shown("vm-2  live", "vm-2"));
    };
}
