//! Who asks, and whether the token carries the role that a path needs.

use std::sync::Arc;

use laburnum_core::fault::{Fault, Kind};
use poem::http::{HeaderMap, header};

use crate::{
    front::{intake::Gate, problem::Refusal},
    settings::identity::{Operators, Role, Token},
};

/// The paths that need a token.
pub const GUARDED: &str = "/v1";

/// The scheme of the `Authorization` header.
const SCHEME: &str = "Bearer ";

/// Lets only those send a body to a guarded path who hold a known token, since
/// the documents of operators are large.
pub struct Holders(pub Arc<Operators>);

impl Gate for Holders {
    fn check(&self, path: &str, headers: &HeaderMap) -> Result<(), Refusal> {
        if path.starts_with(GUARDED) {
            known(headers, &self.0)?;
        }
        Ok(())
    }
}

/// The token of a request, if it carries `role`.
pub fn token<'a>(
    headers: &HeaderMap,
    operators: &'a Operators,
    role: Role,
) -> Result<&'a Token, Fault> {
    let found = known(headers, operators)?;
    if found.allows(role) {
        return Ok(found);
    }
    let needed = match role {
        Role::Read => "read",
        Role::Publish => "publish",
    };
    let detail = format!("Authorization: the token does not carry the role {needed}");
    Err(Fault::not_run(Kind::Forbidden, detail))
}

/// The token of a request.
///
/// A missing, a malformed and an unknown token get the same answer after the
/// same work, so that a refusal tells nothing about the known ones.
fn known<'a>(headers: &HeaderMap, operators: &'a Operators) -> Result<&'a Token, Fault> {
    operators.token(given(headers).unwrap_or_default()).ok_or_else(|| {
        let detail = "Authorization: allowed is a bearer token from the settings of this VM";
        Fault::not_run(Kind::Unauthorized, detail)
    })
}

fn given(headers: &HeaderMap) -> Option<&str> {
    let mut values = headers.get_all(header::AUTHORIZATION).iter();
    let value = values.next()?.to_str().ok()?;
    let (scheme, token) = value.split_at_checked(SCHEME.len())?;
    let is_alone = values.next().is_none();
    (is_alone && scheme.eq_ignore_ascii_case(SCHEME)).then_some(token)
}
