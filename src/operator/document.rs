//! Decodes the requests of operators into checked types.

use std::collections::BTreeMap;

use laburnum_core::{
    control::request::Token,
    fault::{Fault, Kind},
    name::Name,
    profile::{Profile, Raw as RawProfile, Revision},
};
use poem::http::{HeaderMap, header};
use serde::Deserialize;
use serde_json::{Map, Value};
use uuid::Uuid;

use crate::front::{body, field};

/// A document of profiles before it is checked.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, expecting = "an object with profiles")]
struct Raw {
    profiles: Option<Value>,
}

/// Decodes and checks the profiles in a body.
pub fn profiles(bytes: &[u8]) -> Result<BTreeMap<Name, Profile>, Fault> {
    let raw: Raw = body::decode(bytes)?;
    let Some(Value::Object(entries)) = raw.profiles else {
        let found = field::describe(raw.profiles.as_ref());
        return Err(field::malformed("profiles", &found, "an object of profiles by name"));
    };
    entries.into_iter().map(profile).collect()
}

fn profile((name, value): (String, Value)) -> Result<(Name, Profile), Fault> {
    let path = format!("profiles.{}", field::excerpt(&name));
    let name = field::name(&path, Some(&Value::String(name)))?;
    let raw = serde_json::from_value::<RawProfile>(value.clone())
        .map_err(|e| decode_fault(&path, &value, &e))?;
    let profile = Profile::try_from(raw)
        .map_err(|e| Fault::not_run(Kind::Malformed, format!("{path}.{e}")))?;
    Ok((name, profile))
}

/// Makes the fault for a profile that cannot be decoded. The decoder does not
/// name a field of the wrong type, so each field is tried on its own.
fn decode_fault(path: &str, value: &Value, error: &serde_json::Error) -> Fault {
    let fields = value.as_object().into_iter().flatten();
    let wrong_field = fields.map(|(key, _)| key).find(|key| !is_decodable(key, value));
    let location = wrong_field.map_or(path.to_owned(), |key| format!("{path}.{key}"));
    Fault::not_run(Kind::Malformed, format!("{location}: {error}"))
}

/// Returns whether a valid profile can still be decoded when its field `key` is
/// taken from `value`.
fn is_decodable(key: &str, value: &Value) -> bool {
    let mut fields = decodable_fields();
    fields.insert(key.to_owned(), value[key].clone());
    serde_json::from_value::<RawProfile>(Value::Object(fields)).is_ok()
}

/// Returns the fields of a profile that can be decoded.
fn decodable_fields() -> Map<String, Value> {
    let profile = RawProfile {
        team: String::new(),
        index: String::new(),
        coverage_ppm: 0,
        deadline: Default::default(),
        tail: Default::default(),
        extra_load_ppm: 0,
        concurrency: 0,
        priority: 0,
        canary: true,
    };
    match serde_json::to_value(profile) {
        Ok(Value::Object(fields)) => fields,
        // A structure with named fields is always encoded as an object.
        _ => Map::new(),
    }
}

/// Reads the revision that must be in force from the `If-Match` header, if
/// there is one.
pub fn expected_revision(headers: &HeaderMap) -> Result<Option<Revision>, Fault> {
    let Some(value) = headers.get(header::IF_MATCH) else { return Ok(None) };
    let text = String::from_utf8_lossy(value.as_bytes());
    let digits = text.trim().strip_prefix('"').and_then(|rest| rest.strip_suffix('"'));
    let revision = digits.and_then(|digits| digits.parse().ok()).map(Revision);
    let refusal = || field::malformed("If-Match", &field::excerpt(&text), "one revision in quotes");
    revision.map(Some).ok_or_else(refusal)
}

/// Reads from the query of the URI whether a publication is a dry run, which
/// only compares.
pub fn dry_run(query: Option<&str>) -> Result<bool, Fault> {
    match query.unwrap_or_default() {
        "" | "dry_run=false" => Ok(false),
        "dry_run=true" => Ok(true),
        other => {
            let allowed = "dry_run=true or dry_run=false";
            Err(field::malformed("query", &field::excerpt(other), allowed))
        }
    }
}

/// A request to publish the profiles of an earlier revision again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rollback {
    /// The revision whose profiles are published again.
    pub to: Revision,
    /// The revision that must be in force, if the operator named one.
    pub expect: Option<Revision>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, expecting = "an object with to and expect")]
struct RawRollback {
    to: Option<Value>,
    expect: Option<Value>,
}

impl TryFrom<RawRollback> for Rollback {
    type Error = Fault;

    fn try_from(raw: RawRollback) -> Result<Rollback, Fault> {
        let expect = raw.expect.map(|value| field::number("expect", Some(&value)));
        Ok(Rollback {
            to: Revision(field::number("to", raw.to.as_ref())?),
            expect: expect.transpose()?.map(Revision),
        })
    }
}

/// Decodes and checks a rollback in a body.
pub fn rollback(bytes: &[u8]) -> Result<Rollback, Fault> {
    Rollback::try_from(body::decode::<RawRollback>(bytes)?)
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, expecting = "an object with token")]
struct RawSettle {
    token: Option<RawToken>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, expecting = "an object with base, revision and id")]
struct RawToken {
    base: Option<Value>,
    revision: Option<Value>,
    id: Option<Value>,
}

impl TryFrom<RawToken> for Token {
    type Error = Fault;

    fn try_from(raw: RawToken) -> Result<Token, Fault> {
        Ok(Token {
            base: Revision(field::number("token.base", raw.base.as_ref())?),
            revision: Revision(field::number("token.revision", raw.revision.as_ref())?),
            id: uuid("token.id", raw.id.as_ref())?,
        })
    }
}

fn uuid(name: &str, value: Option<&Value>) -> Result<Uuid, Fault> {
    let text = field::text(name, value)?;
    Uuid::try_parse(text)
        .map_err(|_| field::malformed(name, &field::excerpt(text), "the id of a token"))
}

/// Decodes and checks the token of the publication to settle.
pub fn token(bytes: &[u8]) -> Result<Token, Fault> {
    let raw: RawSettle = body::decode(bytes)?;
    let token = raw.token.ok_or_else(|| {
        field::malformed("token", "nothing", "the token of an unsettled publication")
    })?;
    Token::try_from(token)
}
