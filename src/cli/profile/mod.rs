//! `profile`: publishes profiles and shows those in force.

mod arguments;
mod describe;
mod publication;

use laburnum_core::profile::Revision;
use reqwest::Method;
use serde_json::json;

pub use self::arguments::Profile;

use self::arguments::{Action, Diff, Publish, Rollback, Settle};
use super::{
    answer::Problem,
    failure::Outcome,
    operator::{self, Request},
    value,
};

/// Runs the subcommand of `profile` that the arguments name.
pub fn run(command: &Profile) -> Outcome {
    match &command.action {
        Action::Publish(publish) => run_publish(publish),
        Action::Diff(diff) => run_diff(diff),
        Action::Rollback(rollback) => run_rollback(rollback),
        Action::Settle(settle) => run_settle(settle),
        Action::Show(show) => {
            show.operator()?.run(&operator::get("/v1/profiles"), describe::show, Problem::hint)
        }
        Action::History(history) => {
            let request = operator::get("/v1/profiles/history");
            history.operator()?.run(&request, describe::history, Problem::hint)
        }
        Action::Status(status) => {
            let request = operator::get("/v1/profiles/status");
            status.operator()?.run(&request, describe::status, Problem::hint)
        }
    }
}

fn run_publish(command: &Publish) -> Outcome {
    let operator = command.operator()?;
    let profiles = value::profiles(&command.file)?;
    let path = if command.dry_run { "/v1/profiles?dry_run=true" } else { "/v1/profiles" };
    let request = Request {
        method: Method::PUT,
        path,
        expect: command.expect.map(Revision),
        body: Some(json!({ "profiles": profiles.0 })),
    };
    operator.run(&request, publication::describe, publication::hint)
}

fn run_diff(command: &Diff) -> Outcome {
    let operator = command.operator()?;
    let profiles = value::profiles(&command.file)?;
    let request = operator::post("/v1/profiles/diff", json!({ "profiles": profiles.0 }));
    operator.run(&request, describe::changes, Problem::hint)
}

fn run_rollback(command: &Rollback) -> Outcome {
    let body = match command.expect {
        Some(expect) => json!({ "to": command.to, "expect": expect }),
        None => json!({ "to": command.to }),
    };
    let request = operator::post("/v1/profiles/rollback", body);
    command.operator()?.run(&request, publication::describe, publication::hint)
}

fn run_settle(command: &Settle) -> Outcome {
    let request = operator::post("/v1/publications/settle", json!({ "token": command.token }));
    command.operator()?.run(&request, publication::describe, publication::hint)
}
