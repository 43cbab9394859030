//! Sends the answers of this home to the VMs that asked.

use std::collections::BTreeMap;

use uuid::Uuid;

use crate::name::Name;

use super::{Message, Outbox, Replies, Scope, intake, message::Answer, table::Tables};

/// Runs the system.
pub fn run(tables: &mut Tables, scope: &Scope<'_>, replies: Replies, out: &mut Outbox) {
    let mut answers: BTreeMap<Name, Vec<Answer>> = BTreeMap::new();
    for (requester, answer) in replies.answers {
        tables.waiting.remove(&answer.token);
        answers.entry(requester).or_default().push(answer);
    }
    let mut recorded: BTreeMap<Name, Vec<Uuid>> = BTreeMap::new();
    for (requester, token) in replies.recorded {
        recorded.entry(requester).or_default().push(token);
    }
    for (requester, answers) in answers {
        if requester != *scope.vm {
            out.messages.push((requester, Message::Answers(answers)));
            continue;
        }
        for answer in answers {
            intake::finish(tables, scope, answer, out);
        }
    }
    for (requester, tokens) in recorded {
        if requester != *scope.vm {
            out.messages.push((requester, Message::Recorded(tokens)));
            continue;
        }
        for token in tokens {
            tables.reports.remove(&token);
        }
    }
}
