//! The help of the commands and the docs page that lists them.

use std::collections::BTreeSet;

use laburnumworks::cli::exit::Exit;

use crate::{harness, page};

/// The help text of a command.
fn help(command: &[String]) -> String {
    let mut arguments: Vec<&str> = command.iter().map(String::as_str).collect();
    arguments.push("--help");
    let output = harness::run_cli(&arguments);
    harness::assert_exit(&output, Exit::Done);
    harness::stdout(&output)
}

/// The subcommands that the help text of a command lists.
fn subcommands(help: &str) -> Vec<String> {
    let lines = help.lines().skip_while(|line| !line.starts_with("Commands:")).skip(1);
    let lines = lines.take_while(|line| !line.trim().is_empty());
    // The next line of a long description is indented further than the names.
    let named = lines.filter(|line| line.starts_with("  ") && !line.starts_with("   "));
    named.filter_map(|line| line.split_whitespace().next()).map(str::to_owned).collect()
}

/// The commands without subcommands from `command` down, with their help texts.
fn commands(command: &[String]) -> Vec<(String, String)> {
    let help = help(command);
    let names = subcommands(&help);
    if names.is_empty() {
        return vec![(command.join(" "), help)];
    }
    let nested = names.into_iter().map(|name| [command, &[name]].concat());
    nested.flat_map(|command| commands(&command)).collect()
}

/// The words of a command line before its arguments.
fn name(line: &str) -> String {
    let is_name = |word: &&str| !word.starts_with('-') && !word.chars().any(char::is_uppercase);
    line.split(' ').take_while(is_name).collect::<Vec<_>>().join(" ")
}

/// The example command lines of a help text.
fn examples(help: &str) -> Vec<&str> {
    let lines = help.lines().skip_while(|line| !line.starts_with("Examples:"));
    lines.filter(|line| line.trim_start().starts_with("laburnumworks ")).collect()
}

cases! {
    the_operating_page_lists_the_commands => {
        let listed = page::table("OPERATING.md", "## Commands");
        let listed: Vec<String> = listed.iter().map(|row| name(row[0].trim_matches('`'))).collect();
        let known: BTreeSet<String> = commands(&[]).into_iter().map(|(name, _)| name).collect();
        assert_eq!(listed.iter().cloned().collect::<BTreeSet<_>>(), known);
        assert_eq!(listed.len(), known.len(), "a command is listed twice");
    };
    every_command_has_an_example_with_flags_that_it_knows => {
        for (command, help) in commands(&[]) {
            let examples = examples(&help);
            assert!(!examples.is_empty(), "{command} has no example");
            let options = help.split("Examples:").next().unwrap();
            for example in examples {
                assert!(example.contains(&format!("laburnumworks {command}")), "{example}");
                let flags = example.split(' ').filter(|word| word.starts_with("--"));
                for flag in flags {
                    assert!(options.contains(flag), "{command} does not know {flag}");
                }
            }
        }
    };
    the_help_states_the_exit_codes => {
        let help = help(&[]);
        for exit in Exit::ALL {
            assert!(help.contains(&format!("{} ", exit.code())), "{exit:?}");
        }
    };
}
