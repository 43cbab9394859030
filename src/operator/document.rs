//! Requests of operators: raw documents to checked types.

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

/// Reads the profiles of a body.
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
        .map_err(|e| undecoded(&path, &value, &e))?;
    let profile = Profile::try_from(raw)
        .map_err(|e| Fault::not_run(Kind::Malformed, format!("{path}.{e}")))?;
    Ok((name, profile))
}

/// The refusal of a profile that does not have the right fields. The decoder
/// does not name a field of the wrong type, so each is tried on its own.
fn undecoded(path: &str, value: &Value, error: &serde_json::Error) -> Fault {
    let fields = value.as_object().into_iter().flatten();
    let culprit = fields.map(|(key, _)| key).find(|key| !is_decoded(key, value));
    let place = culprit.map_or(path.to_owned(), |key| format!("{path}.{key}"));
    Fault::not_run(Kind::Malformed, format!("{place}: {error}"))
}

/// Whether a sound profile whose field `key` comes from `value` is decoded.
fn is_decoded(key: &str, value: &Value) -> bool {
    let mut fields = sound();
    fields.insert(key.to_owned(), value[key].clone());
    serde_json::from_value::<RawProfile>(Value::Object(fields)).is_ok()
}

/// The fields of a profile that is decoded.
fn sound() -> Map<String, Value> {
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
        // A structure of named fields is encoded as an object.
        _ => Map::new(),
    }
}

/// Reads the revision that must be in force from the `If-Match` header.
pub fn expect(headers: &HeaderMap) -> Result<Option<Revision>, Fault> {
    let Some(value) = headers.get(header::IF_MATCH) else { return Ok(None) };
    let text = String::from_utf8_lossy(value.as_bytes());
    let digits = text.trim().strip_prefix('"').and_then(|rest| rest.strip_suffix('"'));
    let revision = digits.and_then(|digits| digits.parse().ok()).map(Revision);
    let refusal = || field::malformed("If-Match", &field::excerpt(&text), "one revision in quotes");
    revision.map(Some).ok_or_else(refusal)
}

/// Reads whether a publication is only compared, from the query of the path.
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

/// A roll back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rollback {
    /// The revision whose profiles are published again.
    pub to: Revision,
    /// The revision that must be in force.
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

/// Reads a roll back from a body.
pub fn roll_back(bytes: &[u8]) -> Result<Rollback, Fault> {
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

/// Reads the token of a publication that is to be settled.
pub fn token(bytes: &[u8]) -> Result<Token, Fault> {
    let raw: RawSettle = body::decode(bytes)?;
    let token = raw.token.ok_or_else(|| {
        field::malformed("token", "nothing", "the token of an unsettled publication")
    })?;
    Token::try_from(token)
}
