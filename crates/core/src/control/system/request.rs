//! Handles the requests of operators.

use super::status;
use crate::control::{
    Answer, Request, RequestId,
    engine::Step,
    table::{Tables, publication::Publication},
};

/// Answers a request from the tables, or adds a row for a request that needs the
/// platform's service.
pub fn handle(tables: &mut Tables, step: &mut Step<'_>, id: RequestId, request: Request) {
    let answer = match request {
        Request::Status => Answer::Status(status::revisions(tables, step)),
        Request::Vms => Answer::Vms(status::vms(tables, step.now)),
        Request::Targets => Answer::Targets(status::targets(tables, step.now)),
        request => {
            let until = step.now + step.limits.publish_timeout;
            tables.publications.insert(id, Publication::new(request, step.now, until));
            return;
        }
    };
    step.out.answers.push((id, answer));
}
