//! The outcome of a publication, and the token of one whose outcome is unknown.

use laburnum_core::{
    control::request::{Difference, Token},
    profile::Revision,
};
use serde::Deserialize;
use uuid::Uuid;

use super::describe;
use crate::cli::answer::Problem;

/// The outcome of a publication.
#[derive(Clone, Debug, Deserialize)]
pub struct Publication {
    outcome: String,
    revision: Revision,
    #[serde(default)]
    changes: Vec<Difference>,
}

/// Describes the outcome of a publication.
pub fn describe(publication: &Publication) -> String {
    let Revision(revision) = publication.revision;
    let heading = match publication.outcome.as_str() {
        "accepted" => format!("published: revision {revision}"),
        "planned" => format!("nothing was published; it would be revision {revision}"),
        _ => format!("it was not published and never will be; revision {revision} is in force"),
    };
    format!("{heading}\n{}", describe::differences(&publication.changes))
}

/// The hint for a refused publication. It names the token to settle, or the
/// winner to compare with.
pub fn hint(problem: &Problem) -> String {
    if let Some(token) = &problem.token {
        let token = token_text(token);
        return format!("query the outcome: profile settle {token}");
    }
    match problem.winner {
        Some(Revision(winner)) => {
            let changes = describe::differences(problem.changes.as_deref().unwrap_or_default());
            let compare =
                format!("compare with profile diff, then publish with --expect {winner};");
            format!("{compare} it would change:\n{changes}").trim_end().to_owned()
        }
        None => problem.hint(),
    }
}

/// Formats a token as the command line takes it.
fn token_text(token: &Token) -> String {
    format!("{}:{}:{}", token.base.0, token.revision.0, token.id)
}

/// Parses a token as `profile publish` printed it.
pub fn token(text: &str) -> Result<Token, String> {
    let mut parts = text.splitn(3, ':');
    let base = revision(parts.next());
    let next = revision(parts.next());
    let id = parts.next().and_then(|id| Uuid::try_parse(id).ok());
    match (base, next, id) {
        (Some(base), Some(revision), Some(id)) => Ok(Token { base, revision, id }),
        _ => Err(format!("found {text:?}, allowed is a token as profile publish printed it")),
    }
}

fn revision(text: Option<&str>) -> Option<Revision> {
    text?.parse().ok().map(Revision)
}
