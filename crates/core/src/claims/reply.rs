//! Sends the answers and acknowledgements of this home to the requesters.

use std::collections::BTreeMap;

use uuid::Uuid;

use crate::name::Name;

use super::{Context, Message, Outbox, Replies, intake, message::Answer, table::Tables};

/// Sends one message of each kind to each requester. Those for this VM are
/// applied directly.
pub fn run(tables: &mut Tables, context: &Context<'_>, replies: Replies, out: &mut Outbox) {
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
        if requester != *context.vm {
            out.messages.push((requester, Message::Answers(answers)));
            continue;
        }
        for answer in answers {
            intake::finish_operation(tables, context, answer, out);
        }
    }
    for (requester, tokens) in recorded {
        if requester != *context.vm {
            out.messages.push((requester, Message::Recorded(tokens)));
            continue;
        }
        for token in tokens {
            tables.reports.remove(&token);
        }
    }
}
