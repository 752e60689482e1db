//! Datagram envelope: version, the sender's boot id, sequence number and authentication tag.

use hmac::{Hmac, Mac};
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::ids::BootId;

/// Version of the datagram format.
pub const VERSION: u8 = 1;
/// Maximum size of a datagram including the envelope, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Number of bytes that the envelope adds to the payload.
pub const ENVELOPE_BYTES: usize = HEAD_BYTES + TAG_BYTES;
/// Maximum size of a payload, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = MAX_DATAGRAM_BYTES - ENVELOPE_BYTES;

const HEAD_BYTES: usize = 1 + 8 + 8;
const TAG_BYTES: usize = 16;

/// Reason why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EnvelopeError {
    /// Shorter than an envelope.
    #[error("datagram is too short")]
    TooShort,
    /// Longer than [`MAX_DATAGRAM_BYTES`].
    #[error("datagram is too long")]
    TooLong,
    /// The version is not [`VERSION`].
    #[error("datagram is of an unknown version")]
    UnknownVersion,
    /// The authentication tag does not match the shared secret.
    #[error("datagram is not authentic")]
    NotAuthentic,
    /// The datagram is not newer than the last one accepted from this boot id, or was sent before
    /// the sender's last restart.
    #[error("datagram is a replay or arrived out of order")]
    Replayed,
}

/// A datagram whose authentication tag was verified.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VerifiedDatagram<'a> {
    /// Boot id of the sending process.
    pub boot: BootId,
    /// Sequence number, which counts from 1 for each boot id.
    pub seq: u64,
    /// The payload.
    pub payload: &'a [u8],
}

/// Seals payloads under this process's boot id, and opens datagrams of other processes.
#[derive(Clone, Debug)]
pub struct Sealer {
    mac: Hmac<Sha256>,
    boot: BootId,
    seq: u64,
}

impl Sealer {
    /// Creates a sealer that authenticates with the shared secret.
    pub fn new(secret: &[u8], boot: BootId) -> Self {
        let mac = Hmac::new_from_slice(secret).expect("HMAC takes keys of any length");
        Sealer { mac, boot, seq: 0 }
    }

    /// Wraps a payload of at most [`MAX_PAYLOAD_BYTES`].
    ///
    /// # Errors
    /// Returns [`EnvelopeError::TooLong`] if the payload is larger.
    pub fn seal(&mut self, payload: &[u8]) -> Result<Vec<u8>, EnvelopeError> {
        if payload.len() > MAX_PAYLOAD_BYTES {
            return Err(EnvelopeError::TooLong);
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

    /// Checks length, version and authentication tag. [`ReplayFilter`] rejects replays.
    ///
    /// # Errors
    /// Returns the reason for which the datagram must be dropped.
    pub fn open<'a>(&self, datagram: &'a [u8]) -> Result<VerifiedDatagram<'a>, EnvelopeError> {
        if datagram.len() > MAX_DATAGRAM_BYTES {
            return Err(EnvelopeError::TooLong);
        }
        if datagram.len() < ENVELOPE_BYTES {
            return Err(EnvelopeError::TooShort);
        }
        if datagram[0] != VERSION {
            return Err(EnvelopeError::UnknownVersion);
        }
        let (body, tag) = datagram.split_at(datagram.len() - TAG_BYTES);
        if !bool::from(self.tag(body).ct_eq(tag)) {
            return Err(EnvelopeError::NotAuthentic);
        }
        Ok(VerifiedDatagram {
            boot: BootId(read_u64(&body[1..9])),
            seq: read_u64(&body[9..HEAD_BYTES]),
            payload: &body[HEAD_BYTES..],
        })
    }

    fn tag(&self, body: &[u8]) -> [u8; TAG_BYTES] {
        let full = self.mac.clone().chain_update(body).finalize().into_bytes();
        full[..TAG_BYTES].try_into().expect("SHA-256 has 32 bytes")
    }
}

fn read_u64(bytes: &[u8]) -> u64 {
    u64::from_be_bytes(bytes.try_into().expect("a number has 8 bytes"))
}

/// Maximum number of earlier boot ids remembered for each sender.
const MAX_FORMER_BOOTS: usize = 4;

/// Accepts the datagrams of one sender in increasing order and rejects replays.
#[derive(Clone, Debug, Default)]
pub struct ReplayFilter {
    last: Option<(BootId, u64)>,
    former_boots: smallvec::SmallVec<[BootId; MAX_FORMER_BOOTS]>,
}

impl ReplayFilter {
    /// Accepts a datagram that is newer than all accepted before it.
    ///
    /// # Errors
    /// Returns [`EnvelopeError::Replayed`] if the datagram is not newer, or was sent before the
    /// sender's last restart.
    pub fn accept(&mut self, boot: BootId, seq: u64) -> Result<(), EnvelopeError> {
        match self.last {
            Some((known, last)) if known == boot && seq <= last => {
                return Err(EnvelopeError::Replayed);
            }
            Some((known, _)) if known != boot => {
                if self.former_boots.contains(&boot) {
                    return Err(EnvelopeError::Replayed);
                }
                if self.former_boots.len() == MAX_FORMER_BOOTS {
                    self.former_boots.remove(0);
                }
                self.former_boots.push(known);
            }
            _ => {}
        }
        self.last = Some((boot, seq));
        Ok(())
    }
}
