//! The shared key between the system's processes: handshakes and message tags.
//!
//! An agent, or another entry, opens with [`Hello`], the entry answers with [`Challenge`], the opener
//! closes with [`Proof`]. Each side proves that it holds the key over both nonces, so a recorded handshake is
//! of no use on another connection.

use std::fmt;

use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

use crate::ids::BootId;
use crate::wire::{Opener, PROTOCOL_VERSION};

/// Bytes of a nonce.
pub const NONCE_BYTES: usize = 16;
/// Bytes of a tag.
pub const TAG_BYTES: usize = 32;

const ENTRY_ROLE: &[u8] = b"entry";
const OPENER_ROLE: &[u8] = b"opener";

/// A random number used once.
pub type Nonce = [u8; NONCE_BYTES];
/// Proof of the key over a message.
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
    /// The key from the settings' text.
    pub fn new(text: &str) -> Self {
        Secret(text.as_bytes().to_vec())
    }

    /// The tag of some message parts. Each part is preceded by its length.
    pub fn tag(&self, parts: &[&[u8]]) -> Tag {
        self.mac(parts).finalize().into_bytes().into()
    }

    /// Checks a tag in constant time.
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

/// First message of a connection, from the side that opened it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// [`PROTOCOL_VERSION`].
    pub version: u8,
    /// The opener's nonce.
    pub nonce: Nonce,
    /// Who the opener is.
    pub opener: Opener,
}

/// The entry's answer to [`Hello`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Challenge {
    /// [`PROTOCOL_VERSION`].
    pub version: u8,
    /// The entry's nonce.
    pub nonce: Nonce,
    /// This run of the entry.
    pub boot: BootId,
    /// The entry's proof.
    pub tag: Tag,
}

/// The opener's proof.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proof {
    /// The opener's tag over hello and challenge.
    pub tag: Tag,
}

/// Why a handshake failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AuthError {
    /// The other side speaks another version.
    #[error("peer speaks protocol version {0}, expected {PROTOCOL_VERSION}")]
    Version(u8),
    /// The other side does not hold the key.
    #[error("peer's tag is wrong")]
    Tag,
}

impl Hello {
    /// A hello with a fresh nonce.
    pub fn new(opener: Opener) -> Self {
        Hello {
            version: PROTOCOL_VERSION,
            nonce: rand::random(),
            opener,
        }
    }
}

impl Challenge {
    /// The entry's answer to the encoded hello.
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

    /// Checks the entry's proof.
    ///
    /// # Errors
    /// [`AuthError`] when the version or the tag is wrong.
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
    /// The opener's proof over the encoded hello and the challenge.
    pub fn new(secret: &Secret, hello: &[u8], challenge: &Challenge) -> Self {
        Proof {
            tag: secret.tag(&[OPENER_ROLE, hello, &challenge.nonce, &challenge.tag]),
        }
    }

    /// Checks the opener's proof.
    ///
    /// # Errors
    /// [`AuthError::Tag`] when the tag is wrong.
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

/// Checks the other side's protocol version.
///
/// # Errors
/// [`AuthError::Version`] when it is not [`PROTOCOL_VERSION`].
pub fn check_version(version: u8) -> Result<(), AuthError> {
    if version == PROTOCOL_VERSION {
        Ok(())
    } else {
        Err(AuthError::Version(version))
    }
}
