//! What goes from instance to instance in copies: encoded and compressed once, and given in parts.

use std::io::{self, Read};

use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use serde::{Serialize, de::DeserializeOwned};
use snafu::{ResultExt, Snafu};

/// The longest that a copy may be once it is unpacked. What operators write is a megabyte at most.
const MAX_UNPACKED_BYTES: u64 = 16 << 20;

/// Why what came is no copy.
#[derive(Debug, Snafu)]
pub enum UnpackError {
    /// It cannot be decompressed, or is too long.
    #[snafu(display("a copy cannot be decompressed: {source}"))]
    Decompress {
        /// What the decoder said.
        source: io::Error,
    },
    /// It cannot be decoded.
    #[snafu(display("a copy cannot be decoded: {source}"))]
    Decode {
        /// What the decoder said.
        source: postcard::Error,
    },
}

/// Packs a value: one of a few hundred kilobytes in some milliseconds, to a third or less.
///
/// # Errors
/// It cannot be encoded.
pub fn pack<T: Serialize>(value: &T) -> io::Result<Vec<u8>> {
    let encoded = postcard::to_stdvec(value).map_err(io::Error::other)?;
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    io::Write::write_all(&mut encoder, &encoded)?;
    encoder.finish()
}

/// Unpacks a value.
///
/// # Errors
/// The bytes are not those of one.
pub fn unpack<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, UnpackError> {
    let mut encoded = Vec::new();
    let decoder = DeflateDecoder::new(bytes);
    let read = decoder.take(MAX_UNPACKED_BYTES).read_to_end(&mut encoded);
    read.context(DecompressSnafu)?;
    postcard::from_bytes(&encoded).context(DecodeSnafu)
}
