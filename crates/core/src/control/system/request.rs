//! Handles the requests of operators.

use super::status;
use crate::control::{
    Answer, Request, RequestId,
    engine::Context,
    table::{Tables, publication::Publication},
};

/// Answers a request from the tables, or adds a row for a request that needs the
/// platform's service.
pub fn handle(tables: &mut Tables, cx: &mut Context<'_>, id: RequestId, request: Request) {
    let answer = match request {
        Request::Status => Answer::Status(status::revisions(tables, cx)),
        Request::Vms => Answer::Vms(status::vms(tables, cx.now)),
        Request::Targets => Answer::Targets(status::targets(tables, cx.now)),
        request => {
            let until = cx.now + cx.limits.publish_timeout;
            tables.publications.insert(id, Publication::new(request, cx.now, until));
            return;
        }
    };
    cx.out.answers.push((id, answer));
}
