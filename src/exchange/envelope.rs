//! The outside of every datagram: version, sender's boot id, sequence number and authentication.

use hmac::{Hmac, Mac};
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::ids::BootId;

/// Version of the datagrams.
pub const VERSION: u8 = 1;
/// Largest datagram, envelope included, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Bytes that the envelope adds to its payload.
pub const ENVELOPE_BYTES: usize = HEAD_BYTES + TAG_BYTES;
/// Largest payload, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = MAX_DATAGRAM_BYTES - ENVELOPE_BYTES;

const HEAD_BYTES: usize = 1 + 8 + 8;
const TAG_BYTES: usize = 16;

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EnvelopeError {
    /// Shorter than an envelope.
    #[error("datagram is too short")]
    Short,
    /// Longer than [`MAX_DATAGRAM_BYTES`].
    #[error("datagram is too long")]
    Long,
    /// Of another version.
    #[error("datagram is of an unknown version")]
    Version,
    /// Not authenticated by the shared secret.
    #[error("datagram is not authentic")]
    Forged,
    /// Not newer than the last one of the same run of the sender.
    #[error("datagram is a replay or arrived out of order")]
    Replayed,
}

/// An authentic datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Opened<'a> {
    /// The run of the sender.
    pub boot: BootId,
    /// Its number within that run.
    pub seq: u64,
    /// What it carries.
    pub payload: &'a [u8],
}

/// Seals payloads of one run of a process, and opens those of others.
#[derive(Clone, Debug)]
pub struct Sealer {
    mac: Hmac<Sha256>,
    boot: BootId,
    seq: u64,
}

impl Sealer {
    /// A sealer with the shared secret.
    pub fn new(secret: &[u8], boot: BootId) -> Self {
        let mac = Hmac::new_from_slice(secret).expect("HMAC takes keys of any length");
        Sealer { mac, boot, seq: 0 }
    }

    /// Wraps a payload of at most [`MAX_PAYLOAD_BYTES`].
    ///
    /// # Errors
    /// [`EnvelopeError::Long`] when it is larger.
    pub fn seal(&mut self, payload: &[u8]) -> Result<Vec<u8>, EnvelopeError> {
        if payload.len() > MAX_PAYLOAD_BYTES {
            return Err(EnvelopeError::Long);
        }
        self.seq += 1;
        let mut datagram = Vec::with_capacity(payload.len() + ENVELOPE_BYTES);
        datagram.push(VERSION);
        datagram.extend_from_slice(&self.boot.0.to_be_bytes());
        datagram.extend_from_slice(&self.seq.to_be_bytes());
        datagram.extend_from_slice(payload);
        let tag = self.tag(&datagram);
        datagram.extend_from_slice(&tag);
        Ok(datagram)
    }

    /// Checks form and authentication. Replays are found by [`Newest`].
    ///
    /// # Errors
    /// Why the datagram must be dropped.
    pub fn open<'a>(&self, datagram: &'a [u8]) -> Result<Opened<'a>, EnvelopeError> {
        if datagram.len() > MAX_DATAGRAM_BYTES {
            return Err(EnvelopeError::Long);
        }
        if datagram.len() < ENVELOPE_BYTES {
            return Err(EnvelopeError::Short);
        }
        if datagram[0] != VERSION {
            return Err(EnvelopeError::Version);
        }
        let (body, tag) = datagram.split_at(datagram.len() - TAG_BYTES);
        if !bool::from(self.tag(body).ct_eq(tag)) {
            return Err(EnvelopeError::Forged);
        }
        Ok(Opened {
            boot: BootId(number(&body[1..9])),
            seq: number(&body[9..HEAD_BYTES]),
            payload: &body[HEAD_BYTES..],
        })
    }

    fn tag(&self, body: &[u8]) -> [u8; TAG_BYTES] {
        let full = self.mac.clone().chain_update(body).finalize().into_bytes();
        full[..TAG_BYTES].try_into().expect("SHA-256 has 32 bytes")
    }
}

fn number(bytes: &[u8]) -> u64 {
    u64::from_be_bytes(bytes.try_into().expect("a number has 8 bytes"))
}

/// Former runs of one sender that are remembered.
const FORMER_RUNS: usize = 4;

/// The newest datagram taken from one sender, and its former runs.
#[derive(Clone, Debug, Default)]
pub struct Newest {
    last: Option<(BootId, u64)>,
    former: smallvec::SmallVec<[BootId; FORMER_RUNS]>,
}

impl Newest {
    /// Takes a datagram that is newer than all before it.
    ///
    /// # Errors
    /// [`EnvelopeError::Replayed`] when it is not, or is of a former run.
    pub fn take(&mut self, boot: BootId, seq: u64) -> Result<(), EnvelopeError> {
        match self.last {
            Some((known, last)) if known == boot && seq <= last => {
                return Err(EnvelopeError::Replayed);
            }
            Some((known, _)) if known != boot => {
                if self.former.contains(&boot) {
                    return Err(EnvelopeError::Replayed);
                }
                if self.former.len() == FORMER_RUNS {
                    self.former.remove(0);
                }
                self.former.push(known);
            }
            _ => {}
        }
        self.last = Some((boot, seq));
        Ok(())
    }
}
