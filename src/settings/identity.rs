//! The identity of a VM, its addresses, and the secrets that it accepts.

use std::{fmt, fs, net::SocketAddr, path::Path, sync::Arc, time::Duration};

use laburnum_core::name::Name;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;
use toml::{Spanned, de::DeValue};

use super::{document::Document, section::Section};

/// The default of [`Platform::call_timeout`].
pub const DEFAULT_CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// The least length of a [`Secret`], such as the deployment's key.
pub const MIN_KEY_BYTES: usize = 16;

/// The most traffic threads that one VM may run.
pub const MAX_TRAFFIC_THREADS: usize = 64;

/// The identity of a VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vm {
    /// The name, unique in the deployment.
    pub name: Name,
    /// The failure domain in which the VM runs.
    pub domain: Name,
}

impl Vm {
    pub(super) fn read(document: &mut Document<'_>) -> Option<Vm> {
        let mut section = document.section("vm");
        let name = section.name("name");
        let domain = section.name("domain");
        section.finish();
        Some(Vm { name: name?, domain: domain? })
    }
}

/// The addresses on which a VM listens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listen {
    /// HTTP for callers.
    pub callers: SocketAddr,
    /// HTTP for operators.
    pub operators: SocketAddr,
    /// The control thread, for other VMs. The VM announces this address to
    /// them.
    pub control: SocketAddr,
    /// The traffic threads, for other VMs, with one address for each thread.
    pub traffic: Vec<SocketAddr>,
}

impl Listen {
    pub(super) fn read(document: &mut Document<'_>) -> Option<Listen> {
        let mut section = document.section("listen");
        let callers = section.address("callers");
        let operators = section.address("operators");
        let control = section.address("control");
        let traffic = section.addresses("traffic");
        section.finish();
        Some(Listen {
            callers: callers?,
            operators: operators?,
            control: control?,
            traffic: traffic?,
        })
    }
}

/// The platform's service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Platform {
    pub address: SocketAddr,
    /// The time after which a call without an answer counts as lost.
    pub call_timeout: Duration,
}

impl Platform {
    pub(super) fn read(document: &mut Document<'_>) -> Option<Platform> {
        let mut section = document.section("platform");
        let address = section.address("address");
        let allowed = Duration::from_millis(10)..=Duration::from_secs(30);
        let call_timeout = section.millis("call_limit_ms", DEFAULT_CALL_TIMEOUT, allowed);
        section.finish();
        Some(Platform { address: address?, call_timeout })
    }
}

/// The SHA-256 hash of a secret. Two hashes are compared in constant time.
#[derive(Clone, Copy)]
pub struct Hash([u8; 32]);

impl Hash {
    /// Hashes `secret`.
    pub fn of(secret: &[u8]) -> Hash {
        Hash(Sha256::digest(secret).into())
    }

    /// Returns whether `secret` has this hash. The time taken does not depend
    /// on where they differ.
    pub fn matches(&self, secret: &[u8]) -> bool {
        *self == Hash::of(secret)
    }
}

impl PartialEq for Hash {
    fn eq(&self, other: &Hash) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Eq for Hash {}

impl TryFrom<&str> for Hash {
    type Error = &'static str;

    fn try_from(text: &str) -> Result<Hash, &'static str> {
        let mut bytes = [0; 32];
        let is_hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !is_hex || text.len() != 2 * bytes.len() {
            return Err(HASH_FORMAT);
        }
        for (index, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| HASH_FORMAT)?;
        }
        Ok(Hash(bytes))
    }
}

impl fmt::Debug for Hash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("[hash]")
    }
}

const HASH_FORMAT: &str = "a SHA-256 hash as 64 hexadecimal digits";

/// A secret text. Its `Debug` output hides it, so that no log or error shows
/// it.
#[derive(Clone)]
pub struct Secret(Arc<str>);

impl Secret {
    /// The secret itself. Send it, but never write it to a log or an error.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("[secret]")
    }
}

impl TryFrom<&str> for Secret {
    type Error = String;

    fn try_from(text: &str) -> Result<Secret, String> {
        let is_plain = text.bytes().all(|byte| byte.is_ascii_graphic());
        if text.len() < MIN_KEY_BYTES || !is_plain {
            return Err(format!("allowed are {MIN_KEY_BYTES} or more visible ASCII characters"));
        }
        Ok(Secret(Arc::from(text)))
    }
}

/// The key that the VMs of one deployment share.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// The key that a VM presents to another one.
    pub key: Secret,
    /// The hash of the key, against which a VM checks the key of a peer.
    pub hash: Hash,
}

impl Deployment {
    pub(super) fn read(document: &mut Document<'_>, file: &Path) -> Option<Deployment> {
        let mut section = document.section("deployment").secret();
        let errors = section.error_count();
        let key = section.optional("key", "a text", |text: String| Secret::try_from(text.as_str()));
        let from_file =
            section.optional("key_file", "a path", |path: String| read_key_file(file, &path));
        let is_given_once = key.is_some() != from_file.is_some();
        if !is_given_once && section.error_count() == errors {
            section.report("key", "give either key or key_file".to_owned());
        }
        section.finish();
        let key = key.or(from_file)?;
        let hash = Hash::of(key.expose().as_bytes());
        Some(Deployment { key, hash })
    }
}

/// Reads a key from `path`, relative to the folder of the settings file.
fn read_key_file(settings: &Path, path: &str) -> Result<Secret, String> {
    let path = settings.parent().unwrap_or(Path::new("")).join(path);
    let text =
        fs::read_to_string(&path).map_err(|e| format!("{} cannot be read: {e}", path.display()))?;
    Secret::try_from(text.trim()).map_err(|e| format!("{}: {e}", path.display()))
}

/// A permission of an operator's token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// To read profiles, states and the audit trail.
    Read,
    /// To publish the profiles of the token's team.
    Publish,
}

/// The token of an operator.
#[derive(Clone, Debug)]
pub struct Token {
    /// The holder, as the audit trail names them.
    pub name: Name,
    /// The team whose profiles the holder may publish.
    pub team: Name,
    pub roles: Vec<Role>,
    /// The hash of the token's text. The text itself is not in the settings.
    pub hash: Hash,
}

impl Token {
    /// Returns whether the token grants `role`.
    pub fn allows(&self, role: Role) -> bool {
        self.roles.contains(&role)
    }
}

/// The operators who may administer the deployment.
#[derive(Clone, Debug, Default)]
pub struct Operators {
    /// The tokens in the order of the settings file.
    pub tokens: Vec<Token>,
}

impl Operators {
    /// Finds the token whose text is `text`. All tokens are compared, each in
    /// constant time, so that the time taken reveals nothing about them.
    pub fn token(&self, text: &str) -> Option<&Token> {
        let given = Hash::of(text.as_bytes());
        let mut found = None;
        for token in &self.tokens {
            if token.hash == given {
                found = Some(token);
            }
        }
        found
    }

    pub(super) fn read(document: &mut Document<'_>) -> Operators {
        let mut section = document.section("operators");
        let items = section.tables("tokens");
        section.finish();
        let tokens =
            items.into_iter().filter_map(|(path, line, item)| token(document, path, line, item));
        Operators { tokens: tokens.collect() }
    }
}

fn token<'i>(
    document: &mut Document<'i>,
    path: String,
    line: usize,
    item: Spanned<DeValue<'i>>,
) -> Option<Token> {
    let mut section: Section<'_, 'i> = document.open(path, line, item).secret();
    let name = section.name("name");
    let team = section.name("team");
    let roles = section.checked("roles", ROLES_FORMAT, |texts: Vec<String>| roles(&texts));
    let hash = section.checked("sha256", HASH_FORMAT, |text: String| Hash::try_from(text.as_str()));
    section.finish();
    Some(Token { name: name?, team: team?, roles: roles?, hash: hash? })
}

const ROLES_FORMAT: &str = "a list of \"read\" and \"publish\"";

fn roles(texts: &[String]) -> Result<Vec<Role>, &'static str> {
    let role = |text: &String| match text.as_str() {
        "read" => Ok(Role::Read),
        "publish" => Ok(Role::Publish),
        _ => Err(ROLES_FORMAT),
    };
    let roles: Vec<Role> = texts.iter().map(role).collect::<Result<_, _>>()?;
    if roles.is_empty() { Err(ROLES_FORMAT) } else { Ok(roles) }
}
