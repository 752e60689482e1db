//! Shared-key authentication between the processes of the fleet: handshakes and message tags.
//!
//! The opener of a connection to an entry, an agent or another entry, sends [`Hello`]. The entry
//! replies with [`Challenge`], and the opener sends [`Proof`]. Each side's tag covers both nonces,
//! so a recorded handshake cannot be replayed on another connection.

use std::fmt;

use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

use crate::ids::BootId;
use crate::wire::{Opener, PROTOCOL_VERSION};

/// Length of a nonce, in bytes.
pub const NONCE_BYTES: usize = 16;
/// Length of a tag, in bytes.
pub const TAG_BYTES: usize = 32;

const ENTRY_ROLE: &[u8] = b"entry";
const OPENER_ROLE: &[u8] = b"opener";

/// Random number that is used for one handshake only.
pub type Nonce = [u8; NONCE_BYTES];
/// HMAC-SHA-256 of a message under the shared key.
pub type Tag = [u8; TAG_BYTES];

/// The shared key.
#[derive(Clone)]
pub struct Secret(Vec<u8>);

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

impl Secret {
    /// Creates the key from the text in the settings.
    pub fn new(text: &str) -> Self {
        Secret(text.as_bytes().to_vec())
    }

    /// Computes the tag of a message that is given in parts. Each part is prefixed with its length,
    /// so that moving bytes from one part to the next changes the tag.
    pub fn tag(&self, parts: &[&[u8]]) -> Tag {
        self.mac(parts).finalize().into_bytes().into()
    }

    /// Verifies a tag in constant time.
    pub fn verify(&self, parts: &[&[u8]], tag: &[u8]) -> bool {
        self.mac(parts).verify_slice(tag).is_ok()
    }

    fn mac(&self, parts: &[&[u8]]) -> Hmac<Sha256> {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC takes keys of any length");
        for part in parts {
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part);
        }
        mac
    }
}

/// First message on a connection, sent by its opener.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The opener's [`PROTOCOL_VERSION`].
    pub version: u8,
    /// The opener's nonce.
    pub nonce: Nonce,
    /// Identity of the opener.
    pub opener: Opener,
}

/// The entry's reply to [`Hello`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Challenge {
    /// The entry's [`PROTOCOL_VERSION`].
    pub version: u8,
    /// The entry's nonce.
    pub nonce: Nonce,
    /// Boot id of the entry.
    pub boot: BootId,
    /// The entry's tag over the hello, its nonce and its boot id.
    pub tag: Tag,
}

/// The opener's reply to [`Challenge`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proof {
    /// The opener's tag over the hello and the challenge's nonce and tag.
    pub tag: Tag,
}

/// Why a handshake failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AuthError {
    /// The peer uses another protocol version.
    #[error("peer uses protocol version {0}, expected {PROTOCOL_VERSION}")]
    Version(u8),
    /// The peer's tag does not match the key.
    #[error("peer failed authentication: tag does not match the shared key")]
    Tag,
}

impl Hello {
    /// Creates a hello with a new nonce.
    pub fn new(opener: Opener) -> Self {
        Hello {
            version: PROTOCOL_VERSION,
            nonce: rand::random(),
            opener,
        }
    }
}

impl Challenge {
    /// Creates the entry's reply to the encoded hello.
    pub fn new(secret: &Secret, hello: &[u8], boot: BootId) -> Self {
        let nonce: Nonce = rand::random();
        let tag = secret.tag(&[ENTRY_ROLE, hello, &nonce, &boot.0.to_be_bytes()]);
        Challenge {
            version: PROTOCOL_VERSION,
            nonce,
            boot,
            tag,
        }
    }

    /// Verifies the entry's version and tag.
    ///
    /// # Errors
    /// Returns an error if the entry has another protocol version or its tag is wrong.
    pub fn check(&self, secret: &Secret, hello: &[u8]) -> Result<(), AuthError> {
        check_version(self.version)?;
        let parts: [&[u8]; 4] = [ENTRY_ROLE, hello, &self.nonce, &self.boot.0.to_be_bytes()];
        secret
            .verify(&parts, &self.tag)
            .then_some(())
            .ok_or(AuthError::Tag)
    }
}

impl Proof {
    /// Creates the opener's proof for the encoded hello and the challenge.
    pub fn new(secret: &Secret, hello: &[u8], challenge: &Challenge) -> Self {
        Proof {
            tag: secret.tag(&[OPENER_ROLE, hello, &challenge.nonce, &challenge.tag]),
        }
    }

    /// Verifies the opener's tag.
    ///
    /// # Errors
    /// Returns [`AuthError::Tag`] if the tag is wrong.
    pub fn check(
        &self,
        secret: &Secret,
        hello: &[u8],
        challenge: &Challenge,
    ) -> Result<(), AuthError> {
        let parts: [&[u8]; 4] = [OPENER_ROLE, hello, &challenge.nonce, &challenge.tag];
        secret
            .verify(&parts, &self.tag)
            .then_some(())
            .ok_or(AuthError::Tag)
    }
}

/// Checks the peer's protocol version.
///
/// # Errors
/// Returns [`AuthError::Version`] if it is not [`PROTOCOL_VERSION`].
pub fn check_version(version: u8) -> Result<(), AuthError> {
    if version == PROTOCOL_VERSION {
        Ok(())
    } else {
        Err(AuthError::Version(version))
    }
}
