//! Authentication and authorization of operators: finds the token of a request
//! and checks that it carries the role that the path needs.

use std::sync::Arc;

use laburnum_core::fault::{Fault, Kind};
use poem::http::{HeaderMap, header};

use crate::{
    front::{intake::Gate, problem::Refusal},
    settings::identity::{Operators, Role, Token},
};

/// The prefix of the paths that need a token.
pub const GUARDED_PREFIX: &str = "/v1";

/// The authentication scheme in the `Authorization` header, with the space that
/// follows it.
const SCHEME: &str = "Bearer ";

/// Refuses a request to a guarded path without a known token before its body is
/// read, since the documents of operators are large.
pub struct TokenGate(pub Arc<Operators>);

impl Gate for TokenGate {
    fn check(&self, path: &str, headers: &HeaderMap) -> Result<(), Refusal> {
        if path.starts_with(GUARDED_PREFIX) {
            authenticate(headers, &self.0)?;
        }
        Ok(())
    }
}

/// Returns the token of a request, or a fault if the token is not known or does
/// not carry `role`.
pub fn authorize<'a>(
    headers: &HeaderMap,
    operators: &'a Operators,
    role: Role,
) -> Result<&'a Token, Fault> {
    let found = authenticate(headers, operators)?;
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

/// Returns the token of a request, or a fault if it is not known.
///
/// A missing, a malformed and an unknown token get the same answer after the
/// same work, so that a refusal reveals nothing about the known tokens.
fn authenticate<'a>(headers: &HeaderMap, operators: &'a Operators) -> Result<&'a Token, Fault> {
    operators.token(bearer_token(headers).unwrap_or_default()).ok_or_else(|| {
        let detail = "Authorization: allowed is a bearer token from the settings of this VM";
        Fault::not_run(Kind::Unauthorized, detail)
    })
}

/// Returns the text of the bearer token, if there is exactly one
/// `Authorization` header and it has the scheme [`SCHEME`].
fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    let mut values = headers.get_all(header::AUTHORIZATION).iter();
    let value = values.next()?.to_str().ok()?;
    let (scheme, token) = value.split_at_checked(SCHEME.len())?;
    let is_single = values.next().is_none();
    (is_single && scheme.eq_ignore_ascii_case(SCHEME)).then_some(token)
}
